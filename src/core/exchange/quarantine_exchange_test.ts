import test from "ava";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import { Quarantine } from "../quarantine/index.ts";
import {
  QuarantineExchange,
  type QuarantineSend,
} from "./quarantine_exchange.ts";

const REQUEST = fingerprintOf("/crash");
/** Time between two reports of a follower, in milliseconds. */
const REPORT_INTERVAL = 500;

interface Vm {
  address: string;
  quarantine: Quarantine;
  exchange: QuarantineExchange;
}

function createVm(address: string, seeds: string[] = []): Vm {
  const quarantine = Quarantine.create();
  const exchange = QuarantineExchange.create(quarantine, seeds);
  return { address, quarantine, exchange };
}

/**
 * Records at a VM that a server process, such as `server#incarnation`, crashed
 * while it ran the request.
 */
function crash({ quarantine }: Vm, serverProcess: string, now: number): void {
  quarantine.recordCrash(REQUEST.complete, "h/crash", serverProcess, now);
}

/** Delivers updates and the answers to them. */
function deliver(
  from: Vm,
  updates: QuarantineSend[],
  all: Vm[],
  now: number,
): void {
  for (const { address, update } of updates) {
    const to = all.find((each) => each.address === address);
    const answer = to?.exchange.receive(from.address, update, now) ?? null;
    if (to !== undefined && answer !== null) deliver(to, [answer], all, now);
  }
}

/**
 * Delivers a report of each follower to the holder and the resulting messages.
 * If `isLost`, the reports are not delivered.
 */
function report(holder: Vm, followers: Vm[], now: number, isLost = false) {
  for (const follower of followers) {
    const update = follower.exchange.report(holder.address, now);
    if (isLost) continue;
    deliver(
      follower,
      [{ address: holder.address, update }],
      [holder, ...followers],
      now,
    );
    follower.exchange.reportAnswered(holder.address, now);
  }
  const updates = holder.exchange.advance(0, followers.length + 1, now);
  deliver(holder, updates, followers, now);
}

/** Returns a predicate: whether a VM quarantines the request at `now`. */
const isQuarantinedAt = (now: number) => ({ quarantine }: Vm) =>
  quarantine.quarantinedRequest(REQUEST, now) !== null;

test("quarantine exchange: crashes detected by three VMs reach all VMs with one report of each", (t) => {
  const holder = createVm("h");
  const followers = ["a", "b", "c", "d"].map((each) => createVm(each));
  report(holder, followers, 0);
  followers.slice(0, 3).forEach((each, i) => crash(each, `s-${i}#1`, 10));
  t.false(followers[0].exchange.isUrgent(5, 49));
  t.true(followers[0].exchange.isUrgent(5, 50));
  report(holder, followers, REPORT_INTERVAL);
  t.true([holder, ...followers].every(isQuarantinedAt(2_000)));
  t.false(followers[0].exchange.isUrgent(5, 2_000));
});

test("quarantine exchange: lost records are sent again", (t) => {
  const holder = createVm("h");
  const followers = ["a", "b"].map((each) => createVm(each));
  for (const each of ["s-0#1", "s-1#1", "s-2#1"]) crash(followers[0], each, 0);
  report(holder, followers, 0, true);
  t.false(isQuarantinedAt(1_500)(followers[1]));
  report(holder, followers, REPORT_INTERVAL);
  t.true([holder, ...followers].every(isQuarantinedAt(2_000)));
});

test("quarantine exchange: a new holder gets all records, and a new VM gets them with its first report", (t) => {
  const former = createVm("h");
  const followers = ["a", "b"].map((each) => createVm(each));
  report(former, followers, 0);
  crash(followers[0], "s-0#1", 10);
  crash(followers[1], "s-1#1", 10);
  report(former, followers, REPORT_INTERVAL);
  // The former holder has failed, so records that only it had are lost.
  const next = createVm("n");
  crash(next, "s-2#1", 600);
  report(next, followers, 2 * REPORT_INTERVAL);
  const started = createVm("c");
  report(next, [...followers, started], 3 * REPORT_INTERVAL);
  t.true([next, ...followers, started].every(isQuarantinedAt(3_000)));
});

test("quarantine exchange: seeds take the place of a holder that sends no messages", (t) => {
  const seed = createVm("seed");
  const others = ["a", "b", "c"].map((each) => createVm(each, ["seed"]));
  others.forEach((each, i) => crash(each, `s-${i}#1`, 0));
  for (let now = 0; now <= 2_000; now += 100) {
    for (const vm of [...others, seed]) {
      deliver(vm, vm.exchange.advance(5_000, 4, now), [...others, seed], now);
    }
  }
  t.true([seed, ...others].every(isQuarantinedAt(3_000)));
});

test("quarantine exchange: VMs with the same records send no updates", (t) => {
  const holder = createVm("h");
  const followers = ["a", "b"].map((each) => createVm(each));
  for (let i = 0; i < 3; i++) crash(followers[0], `s-${i}#1`, 0);
  report(holder, followers, 0);
  report(holder, followers, REPORT_INTERVAL);
  const update = followers[1].exchange.report("h", 1_000);
  t.deepEqual(update.records, []);
  t.is(holder.exchange.receive("b", update, 1_000), null);
  t.deepEqual(holder.exchange.advance(0, 3, 1_100), []);
});
