import test from "ava";
import { DemandLedger } from "./demand_ledger.ts";

const demand = (arrived: number, returned = 0) => [
  { service: "s", priority: 1, arrived, returned, refused: 0 },
];

test("demand ledger: adds up the rates of all VMs over the time of their reports", (t) => {
  const ledger = DemandLedger.create();
  ledger.record("a", demand(90), 1_000, 0);
  ledger.record("b", demand(90), 7_000, 0);
  t.deepEqual(ledger.rates(0).get("s"), [
    { priority: 1, arrived: 0, returned: 0 },
  ], "a first report covers an unknown time");
  ledger.record("a", demand(50, 10), 1_500, 510);
  ledger.record("b", demand(10), 7_200, 250);
  t.deepEqual(ledger.rates(510).get("s"), [
    { priority: 1, arrived: 150, returned: 20 },
  ]);
});

// Guards against the demand of VMs that have stopped, and of a process that has
// restarted with another clock.
test("demand ledger: a VM without reports, or with a new clock, does not count", (t) => {
  const ledger = DemandLedger.create();
  ledger.record("a", [], 0, 0);
  ledger.record("a", demand(50), 500, 500);
  t.is(ledger.rates(1_700).get("s")![0].arrived, 100);
  t.is(ledger.rates(1_701).get("s"), undefined);
  ledger.record("b", [], 9_000, 2_000);
  ledger.record("b", demand(50), 100, 2_500);
  t.is(ledger.rates(2_500).get("s")![0].arrived, 0);
});
