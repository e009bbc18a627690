import test from "ava";
import fc from "fast-check";
import { SHARE_LIFETIME, ShareLedger } from "./share_ledger.ts";

const WINDOW_SECONDS = 10;
/** Time for which a share counts after its last use. */
const COUNTED = 1_500 * WINDOW_SECONDS;

// Guards against shares of the minimum that add up to more than all of it.
test("share ledger: shares that count at the same time add up to at most 1", (t) => {
  const steps = fc.array(
    fc.record({
      gap: fc.integer({ min: 0, max: 4_000 }),
      first: fc.integer({ min: 0, max: 60 }),
      count: fc.integer({ min: 1, max: 40 }),
      isNewTerm: fc.integer({ min: 0, max: 40 }).map((n) => n === 0),
    }),
    { minLength: 20, maxLength: 120 },
  );
  fc.assert(
    fc.property(steps, (all) => {
      let now = 0;
      let ledger = ShareLedger.create(WINDOW_SECONDS);
      ledger.startTerm(now);
      const grants: { vm: number; share: number; until: number }[] = [];
      for (const { gap, first, count, isNewTerm } of all) {
        now += gap;
        if (isNewTerm) {
          ledger = ShareLedger.create(WINDOW_SECONDS);
          ledger.startTerm(now);
        }
        for (let vm = first; vm < first + count; vm++) {
          const share = ledger.renew(`vm-${vm}`, now);
          const until = now + SHARE_LIFETIME + COUNTED;
          grants.push({ vm, share, until });
        }
        const largest = new Map<number, number>();
        for (const { vm, share, until } of grants) {
          if (until <= now) continue;
          largest.set(vm, Math.max(share, largest.get(vm) ?? 0));
        }
        const sum = [...largest.values()].reduce((a, b) => a + b, 0);
        if (sum > 1 + 1e-9) throw new Error(`${sum} at ${now}`);
      }
    }),
    { numRuns: 200, seed: 63 },
  );
  t.pass();
});

test("share ledger: VMs that report for long have equal shares of half", (t) => {
  const ledger = ShareLedger.create(WINDOW_SECONDS);
  ledger.startTerm(0);
  const shares: { now: number; share: number }[] = [];
  for (let now = 0; now < 60_000; now += 500) {
    const count = now < 40_000 ? 4 : 8;
    for (let vm = 0; vm < count; vm++) {
      const share = ledger.renew(`vm-${vm}`, now);
      if (vm === 0) shares.push({ now, share });
    }
  }
  const at = (time: number) => shares.find(({ now }) => now === time)!.share;
  t.is(at(16_000), 0);
  t.is(at(16_500), 1 / 8);
  t.is(at(40_500), 1 / 16);
});

test("share ledger: the share of a VM that stops reporting is not granted to others until it no longer counts", (t) => {
  const ledger = ShareLedger.create(WINDOW_SECONDS);
  ledger.startTerm(-60_000);
  t.is(ledger.renew("a", 0), 0.5);
  t.is(ledger.renew("b", 100), 0.25);
  t.is(ledger.renew("a", 200), 0.25);
  t.is(ledger.renew("c", 300), 1 / 6);
  // Only b reports from here on.
  for (let now = 500; now < 17_000; now += 500) ledger.renew("b", now);
  t.is(ledger.renew("b", 17_000), 0.5);
});
