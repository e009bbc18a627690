import test from "ava";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import { Quarantine } from "../quarantine/index.ts";
import {
  QuarantineExchange,
  type QuarantineSend,
} from "./quarantine_exchange.ts";

const REQUEST = fingerprintOf("/ends");
const REPORT_PAUSE = 500;

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

function accuse({ quarantine }: Vm, run: string, now: number): void {
  quarantine.accuse(REQUEST.whole, "h/ends", run, now);
}

/** Sends words on, and the answers to them. */
function pass(from: Vm, words: QuarantineSend[], all: Vm[], now: number): void {
  for (const { address, update: word } of words) {
    const to = all.find((each) => each.address === address);
    const answer = to?.exchange.receive(from.address, word, now) ?? null;
    if (to !== undefined && answer !== null) pass(to, [answer], all, now);
  }
}

/** One report of each follower, and what follows; `isLost` for those on their way. */
function report(holder: Vm, followers: Vm[], now: number, isLost = false) {
  for (const follower of followers) {
    const word = follower.exchange.report(holder.address, now);
    if (isLost) continue;
    pass(
      follower,
      [{ address: holder.address, update: word }],
      [holder, ...followers],
      now,
    );
    follower.exchange.reportAnswered(holder.address, now);
  }
  const news = holder.exchange.advance(0, followers.length + 1, now);
  pass(holder, news, followers, now);
}

const isHeldAt = (now: number) => ({ quarantine }: Vm) =>
  quarantine.hold(REQUEST, now) !== null;

test("quarantine exchange: ends that three VMs saw are known to all after one report", (t) => {
  const holder = createVm("h");
  const followers = ["a", "b", "c", "d"].map((each) => createVm(each));
  report(holder, followers, 0);
  followers.slice(0, 3).forEach((each, i) => accuse(each, `s-${i}#1`, 10));
  t.false(followers[0].exchange.isUrgent(5, 49));
  t.true(followers[0].exchange.isUrgent(5, 50));
  report(holder, followers, REPORT_PAUSE);
  t.true([holder, ...followers].every(isHeldAt(2_000)));
  t.false(followers[0].exchange.isUrgent(5, 2_000));
});

test("quarantine exchange: what was lost on its way is told again", (t) => {
  const holder = createVm("h");
  const followers = ["a", "b"].map((each) => createVm(each));
  for (const run of ["s-0#1", "s-1#1", "s-2#1"]) accuse(followers[0], run, 0);
  report(holder, followers, 0, true);
  t.false(isHeldAt(1_500)(followers[1]));
  report(holder, followers, REPORT_PAUSE);
  t.true([holder, ...followers].every(isHeldAt(2_000)));
});

test("quarantine exchange: a new holder is told everything, one that starts learns with its report", (t) => {
  const former = createVm("h");
  const followers = ["a", "b"].map((each) => createVm(each));
  report(former, followers, 0);
  accuse(followers[0], "s-0#1", 10);
  accuse(followers[1], "s-1#1", 10);
  report(former, followers, REPORT_PAUSE);
  // The former holder is gone, and with it what it alone knew.
  const next = createVm("n");
  accuse(next, "s-2#1", 600);
  report(next, followers, 2 * REPORT_PAUSE);
  const started = createVm("c");
  report(next, [...followers, started], 3 * REPORT_PAUSE);
  t.true([next, ...followers, started].every(isHeldAt(3_000)));
});

test("quarantine exchange: seeds stand in for a holder that is silent", (t) => {
  const seed = createVm("seed");
  const others = ["a", "b", "c"].map((each) => createVm(each, ["seed"]));
  others.forEach((each, i) => accuse(each, `s-${i}#1`, 0));
  for (let now = 0; now <= 2_000; now += 100) {
    for (const vm of [...others, seed]) {
      pass(vm, vm.exchange.advance(5_000, 4, now), [...others, seed], now);
    }
  }
  t.true([seed, ...others].every(isHeldAt(3_000)));
});

test("quarantine exchange: VMs that know the same have nothing to say to each other", (t) => {
  const holder = createVm("h");
  const followers = ["a", "b"].map((each) => createVm(each));
  for (let i = 0; i < 3; i++) accuse(followers[0], `s-${i}#1`, 0);
  report(holder, followers, 0);
  report(holder, followers, REPORT_PAUSE);
  const word = followers[1].exchange.report("h", 1_000);
  t.deepEqual(word.records, []);
  t.is(holder.exchange.receive("b", word, 1_000), null);
  t.deepEqual(holder.exchange.advance(0, 3, 1_100), []);
});
