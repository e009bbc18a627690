import test from "ava";
import fc from "fast-check";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import type { CrashRecord } from "./crash_record.ts";
import { Quarantine } from "./quarantine.ts";

const ENDING = fingerprintOf("/ends");
const INNOCENT = fingerprintOf("/innocent");
/** Time after which a request that was convicted is held back. */
const HEARD = 1_000;
const MINUTE = 60_000;
const HOUR = 60 * MINUTE;

/** A quarantine in which so many servers ended under `ENDING`, at time 0. */
function accusedOf(ends: number): Quarantine {
  const quarantine = Quarantine.create();
  for (let i = 0; i < ends; i++) {
    quarantine.accuse(ENDING.whole, "h/ends", `s-${i}#1`, 0);
  }
  return quarantine;
}

function isHeld(quarantine: Quarantine, now: number): boolean {
  return quarantine.hold(ENDING, now) !== null;
}

test("quarantine: a request is held back from the third end on, not before", (t) => {
  t.false(isHeld(accusedOf(2), HEARD));
  t.true(isHeld(accusedOf(3), HEARD));
});

test("quarantine: one run of a server counts once, whoever saw it end", (t) => {
  const quarantine = accusedOf(2);
  t.false(quarantine.accuse(ENDING.whole, "h/ends", "s-1#1", 10));
  t.false(isHeld(quarantine, HEARD));
  t.true(quarantine.accuse(ENDING.whole, "h/ends", "s-1#2", 10));
  t.true(isHeld(quarantine, HEARD));
});

test("quarantine: a request that is answered is innocent, also by another VM's word", (t) => {
  const quarantine = accusedOf(3);
  const other = Quarantine.create();
  other.merge(quarantine.notable(10), 10);
  other.clear(ENDING, 20);
  quarantine.merge(other.notable(30), 30);
  t.false(isHeld(quarantine, HEARD));
  t.is(quarantine.digest, other.digest);
  // What the other VM still says of the same ends brings nothing back.
  quarantine.merge(accusedOf(3).notable(40), 40);
  t.false(isHeld(quarantine, 40 + HEARD));
});

test("quarantine: what one that is held back accounts for is nobody else's fault", (t) => {
  const quarantine = accusedOf(2);
  for (const run of ["s-0#1", "s-1#1"]) {
    quarantine.accuse(INNOCENT.whole, "h/innocent", run, 0);
  }
  quarantine.accuse(ENDING.whole, "h/ends", "s-2#1", 0);
  quarantine.expire(HEARD);
  t.is(quarantine.ends(INNOCENT), 0);
  quarantine.accuse(INNOCENT.whole, "h/innocent", "s-3#1", HEARD);
  t.is(quarantine.hold(INNOCENT, 3 * HEARD), null);
});

test("quarantine: it is let through for a trial after a while; one end holds it back for longer", (t) => {
  const quarantine = accusedOf(3);
  t.true(isHeld(quarantine, 2 * MINUTE - 1));
  t.false(isHeld(quarantine, 2 * MINUTE));
  const at = 2 * MINUTE + 10;
  quarantine.accuse(ENDING.whole, "h/ends", "s-9#1", at);
  t.true(isHeld(quarantine, at + HEARD));
  t.true(isHeld(quarantine, at + 4 * MINUTE - 1));
  t.false(isHeld(quarantine, at + 4 * MINUTE));
});

test("quarantine: one that was mended is forgotten after its trial", (t) => {
  const quarantine = accusedOf(3);
  t.false(isHeld(quarantine, 2 * MINUTE));
  quarantine.expire(HOUR);
  t.deepEqual(quarantine.notable(HOUR), []);
  t.is(quarantine.digest, 0);
});

test("quarantine: a VM that learns late holds it back for as long as the others", (t) => {
  const late = Quarantine.create();
  late.merge(accusedOf(3).notable(MINUTE), 5_000);
  t.true(isHeld(late, 5_000 + MINUTE - 1));
  t.false(isHeld(late, 5_000 + MINUTE));
});

test("quarantine: a million requests leave a bounded memory, and what is held back stays", (t) => {
  const quarantine = accusedOf(3);
  quarantine.expire(HEARD);
  for (let i = 0; i < 10_000; i++) {
    quarantine.accuse(`request-${i}`, "h/x", "s-7#1", HEARD + i);
  }
  t.true(isHeld(quarantine, 20_000));
  t.true(quarantine.changesSince(0, 20_000).length <= 256);
});

test("quarantine: a request whose path another one shares is not looked into", (t) => {
  const quarantine = Quarantine.create();
  const sent = fingerprintOf("/same", "ends servers");
  for (let i = 0; i < 3; i++) {
    quarantine.accuse(sent.whole, "h/same", `s-${i}#1`, 0);
  }
  t.not(quarantine.hold(sent, HEARD), null);
  t.is(quarantine.hold(fingerprintOf("/same", "other body"), HEARD), null);
});

/** What VMs may have seen: ends, answers, and words to each other. */
const actions = fc.array(
  fc.oneof(
    fc.record({
      kind: fc.constant("end" as const),
      vm: fc.nat(2),
      run: fc.nat(5),
    }),
    fc.record({ kind: fc.constant("answer" as const), vm: fc.nat(2) }),
    fc.record({
      kind: fc.constant("word" as const),
      vm: fc.nat(2),
      to: fc.nat(2),
    }),
  ),
  { maxLength: 30 },
);

test("quarantine: whatever order words come in, all VMs know the same in the end", (t) => {
  fc.assert(fc.property(actions, (list) => {
    const vms = [0, 1, 2].map(() => Quarantine.create());
    const all = (index: number, now: number): CrashRecord[] =>
      vms[index].changesSince(0, now);
    list.forEach((action, now) => {
      const vm = vms[action.vm];
      if (action.kind === "end") {
        vm.accuse(ENDING.whole, "h/ends", `s-${action.run}#1`, now);
      } else if (action.kind === "answer") vm.clear(ENDING, now);
      else vms[action.to].merge(all(action.vm, now), now);
    });
    for (let round = 0; round < 2; round++) {
      for (const to of [0, 1, 2]) {
        for (const from of [0, 1, 2]) vms[to].merge(all(from, 100), 100);
      }
    }
    t.is(new Set(vms.map(({ digest }) => digest)).size, 1);
    t.is(new Set(vms.map((vm) => isHeld(vm, 2_000))).size, 1);
  }));
});

test("quarantine: of two that were there at the same ends neither clears the other", (t) => {
  const quarantine = Quarantine.create();
  for (const run of ["s-0#1", "s-1#1", "s-2#1"]) {
    quarantine.accuse(INNOCENT.whole, "h/innocent", run, 0);
    quarantine.accuse(ENDING.whole, "h/ends", run, 0);
  }
  quarantine.expire(HEARD);
  t.true(isHeld(quarantine, HEARD));
});

test("quarantine: one that is answered everywhere is not suspected for the ends beside it", (t) => {
  const quarantine = accusedOf(1);
  t.is(quarantine.ends(ENDING), 1);
  quarantine.clear(ENDING, 10);
  quarantine.accuse(ENDING.whole, "h/ends", "s-7#1", 2_000);
  t.is(quarantine.ends(ENDING), 0);
  // Nor by another VM's word, which learns of it in turn.
  const other = accusedOf(2);
  quarantine.merge(other.suspects(3_000), 3_000);
  t.is(quarantine.ends(ENDING), 0);
  other.merge(quarantine.suspects(3_010), 3_010);
  other.merge(quarantine.notable(3_010), 3_010);
  t.is(other.ends(ENDING), 0);
  // An answer of long ago speaks for nothing.
  quarantine.accuse(ENDING.whole, "h/ends", "s-8#1", 9_000);
  t.is(quarantine.ends(ENDING), 1);
});
