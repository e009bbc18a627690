import test from "ava";
import fc from "fast-check";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import type { CrashRecord } from "./crash_record.ts";
import { Quarantine } from "./quarantine.ts";

const HARMFUL = fingerprintOf("/harmful");
const HARMLESS = fingerprintOf("/harmless");
/** Time from reaching the crash limit until the quarantine, in milliseconds. */
const DELAY = 1_000;
const MINUTE = 60_000;
const HOUR = 60 * MINUTE;

/**
 * A quarantine in which the harmful request crashed `crashes` servers at time
 * 0.
 */
function quarantineAfter(crashes: number): Quarantine {
  const quarantine = Quarantine.create();
  for (let i = 0; i < crashes; i++) {
    quarantine.recordCrash(HARMFUL.complete, "h/harmful", `s-${i}#1`, 0);
  }
  return quarantine;
}

function isQuarantined(quarantine: Quarantine, now: number): boolean {
  return quarantine.quarantinedRequest(HARMFUL, now) !== null;
}

test("quarantine: a request is quarantined after the third crash, not before", (t) => {
  t.false(isQuarantined(quarantineAfter(2), DELAY));
  t.true(isQuarantined(quarantineAfter(3), DELAY));
});

test("quarantine: a stall of this process does not count as time without a response", (t) => {
  const quarantine = quarantineAfter(3);
  quarantine.processStalled(4_000);
  t.false(isQuarantined(quarantine, 4_010));
  quarantine.clear(HARMFUL, 4_020);
  t.false(isQuarantined(quarantine, 4_000 + DELAY));
  const unanswered = quarantineAfter(3);
  unanswered.processStalled(4_000);
  t.true(isQuarantined(unanswered, 4_000 + DELAY));
});

test("quarantine: the crash of a server process counts once, however many VMs observe it", (t) => {
  const quarantine = quarantineAfter(2);
  t.false(quarantine.recordCrash(HARMFUL.complete, "h/harmful", "s-1#1", 10));
  t.false(isQuarantined(quarantine, DELAY));
  t.true(quarantine.recordCrash(HARMFUL.complete, "h/harmful", "s-1#2", 10));
  t.true(isQuarantined(quarantine, DELAY));
});

test("quarantine: a response clears a request, also one that another VM received", (t) => {
  const quarantine = quarantineAfter(3);
  const other = Quarantine.create();
  other.merge(quarantine.replicatedRecords(10), 10);
  other.clear(HARMFUL, 20);
  quarantine.merge(other.replicatedRecords(30), 30);
  t.false(isQuarantined(quarantine, DELAY));
  t.is(quarantine.digest, other.digest);
  // Delayed records of the same crashes from the other VM do not count again.
  quarantine.merge(quarantineAfter(3).replicatedRecords(40), 40);
  t.false(isQuarantined(quarantine, 40 + DELAY));
});

test("quarantine: the crashes of a quarantined request do not count against others", (t) => {
  const quarantine = quarantineAfter(2);
  for (const run of ["s-0#1", "s-1#1"]) {
    quarantine.recordCrash(HARMLESS.complete, "h/harmless", run, 0);
  }
  quarantine.recordCrash(HARMFUL.complete, "h/harmful", "s-2#1", 0);
  quarantine.advance(DELAY);
  t.is(quarantine.crashCount(HARMLESS), 0);
  quarantine.recordCrash(HARMLESS.complete, "h/harmless", "s-3#1", DELAY);
  t.is(quarantine.quarantinedRequest(HARMLESS, 3 * DELAY), null);
});

test("quarantine: a request is released for a trial; one crash quarantines it for longer", (t) => {
  const quarantine = quarantineAfter(3);
  t.true(isQuarantined(quarantine, 2 * MINUTE - 1));
  t.false(isQuarantined(quarantine, 2 * MINUTE));
  const at = 2 * MINUTE + 10;
  quarantine.recordCrash(HARMFUL.complete, "h/harmful", "s-9#1", at);
  t.true(isQuarantined(quarantine, at + DELAY));
  t.true(isQuarantined(quarantine, at + 4 * MINUTE - 1));
  t.false(isQuarantined(quarantine, at + 4 * MINUTE));
});

test("quarantine: a request on trial reaches its crash limit with one crash", (t) => {
  const quarantine = quarantineAfter(2);
  t.false(quarantine.hasReachedLimit(HARMFUL));
  quarantine.recordCrash(HARMFUL.complete, "h/harmful", "s-2#1", 0);
  t.true(quarantine.hasReachedLimit(HARMFUL));
  quarantine.advance(2 * MINUTE);
  t.false(quarantine.hasReachedLimit(HARMFUL));
  const at = 2 * MINUTE + 10;
  quarantine.recordCrash(HARMFUL.complete, "h/harmful", "s-9#1", at);
  t.true(quarantine.hasReachedLimit(HARMFUL));
  quarantine.clear(HARMFUL, at + 10);
  t.false(quarantine.hasReachedLimit(HARMFUL));
});

test("quarantine: a request on trial needs a permit until any VM receives a response", (t) => {
  const quarantine = quarantineAfter(3);
  const other = Quarantine.create();
  const at = 2 * MINUTE;
  quarantine.advance(at);
  other.merge(quarantine.replicatedRecords(at), at);
  t.true(quarantine.needsPermit(HARMFUL));
  t.true(other.needsPermit(HARMFUL));
  other.clear(HARMFUL, at + 10);
  t.not(other.digest, quarantine.digest);
  quarantine.merge(other.replicatedRecords(at + 20), at + 20);
  t.false(quarantine.needsPermit(HARMFUL));
  t.is(quarantine.digest, other.digest);
  // A crash later on counts like one of a trial.
  quarantine.recordCrash(HARMFUL.complete, "h/harmful", "s-9#1", at + MINUTE);
  t.true(quarantine.needsPermit(HARMFUL));
  t.true(quarantine.hasReachedLimit(HARMFUL));
});

test("quarantine: the record of a request expires after a trial without crashes", (t) => {
  const quarantine = quarantineAfter(3);
  t.false(isQuarantined(quarantine, 2 * MINUTE));
  quarantine.advance(HOUR);
  t.deepEqual(quarantine.replicatedRecords(HOUR), []);
  t.is(quarantine.digest, 0);
});

test("quarantine: it ends at the same time on a VM that receives the record late", (t) => {
  const late = Quarantine.create();
  late.merge(quarantineAfter(3).replicatedRecords(MINUTE), 5_000);
  t.true(isQuarantined(late, 5_000 + MINUTE - 1));
  t.false(isQuarantined(late, 5_000 + MINUTE));
});

test("quarantine: the number of records is bounded, and quarantined requests are kept", (t) => {
  const quarantine = quarantineAfter(3);
  quarantine.advance(DELAY);
  for (let i = 0; i < 10_000; i++) {
    quarantine.recordCrash(`request-${i}`, "h/x", "s-7#1", DELAY + i);
  }
  t.true(isQuarantined(quarantine, 20_000));
  t.true(quarantine.changesSince(0, 20_000).length <= 256);
});

test("quarantine: a request with the same path and another body is not quarantined", (t) => {
  const quarantine = Quarantine.create();
  const sent = fingerprintOf("/same", "harmful body");
  for (let i = 0; i < 3; i++) {
    quarantine.recordCrash(sent.complete, "h/same", `s-${i}#1`, 0);
  }
  t.not(quarantine.quarantinedRequest(sent, DELAY), null);
  t.is(
    quarantine.quarantinedRequest(fingerprintOf("/same", "other body"), DELAY),
    null,
  );
});

/** Random sequences of events at three VMs: crashes, responses and messages. */
const actions = fc.array(
  fc.oneof(
    fc.record({
      kind: fc.constant("crash" as const),
      vm: fc.nat(2),
      run: fc.nat(5),
    }),
    fc.record({ kind: fc.constant("answer" as const), vm: fc.nat(2) }),
    fc.record({
      kind: fc.constant("message" as const),
      vm: fc.nat(2),
      to: fc.nat(2),
    }),
  ),
  { maxLength: 30 },
);

test("quarantine: the records of all VMs converge for any order of messages", (t) => {
  fc.assert(fc.property(actions, (list) => {
    const vms = [0, 1, 2].map(() => Quarantine.create());
    const all = (index: number, now: number): CrashRecord[] =>
      vms[index].changesSince(0, now);
    list.forEach((action, now) => {
      const vm = vms[action.vm];
      if (action.kind === "crash") {
        vm.recordCrash(HARMFUL.complete, "h/harmful", `s-${action.run}#1`, now);
      } else if (action.kind === "answer") vm.clear(HARMFUL, now);
      else vms[action.to].merge(all(action.vm, now), now);
    });
    // Two rounds of messages from each VM to each other.
    for (let round = 0; round < 2; round++) {
      for (const to of [0, 1, 2]) {
        for (const from of [0, 1, 2]) vms[to].merge(all(from, 100), 100);
      }
    }
    t.is(new Set(vms.map(({ digest }) => digest)).size, 1);
    t.is(new Set(vms.map((vm) => isQuarantined(vm, 2_000))).size, 1);
  }));
});

test("quarantine: two requests with the same crashes do not clear each other", (t) => {
  const quarantine = Quarantine.create();
  for (const run of ["s-0#1", "s-1#1", "s-2#1"]) {
    quarantine.recordCrash(HARMLESS.complete, "h/harmless", run, 0);
    quarantine.recordCrash(HARMFUL.complete, "h/harmful", run, 0);
  }
  quarantine.advance(DELAY);
  t.true(isQuarantined(quarantine, DELAY));
});

test("quarantine: crashes do not count against a request that was answered recently", (t) => {
  const quarantine = quarantineAfter(1);
  t.is(quarantine.crashCount(HARMFUL), 1);
  quarantine.clear(HARMFUL, 10);
  quarantine.recordCrash(HARMFUL.complete, "h/harmful", "s-7#1", 2_000);
  t.is(quarantine.crashCount(HARMFUL), 0);
  // The same applies to a crash that another VM reports. That VM then learns of
  // the response from the merged records.
  const other = quarantineAfter(2);
  quarantine.merge(other.startupRecords(3_000), 3_000);
  t.is(quarantine.crashCount(HARMFUL), 0);
  other.merge(quarantine.startupRecords(3_010), 3_010);
  other.merge(quarantine.replicatedRecords(3_010), 3_010);
  t.is(other.crashCount(HARMFUL), 0);
  // Later than 5 s after the response, a crash counts again.
  quarantine.recordCrash(HARMFUL.complete, "h/harmful", "s-8#1", 9_000);
  t.is(quarantine.crashCount(HARMFUL), 1);
});
