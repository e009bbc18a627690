import test from "ava";
import { DemandMeter } from "./demand_meter.ts";

test("demand meter: each request is in one report, by service and priority", (t) => {
  const meter = DemandMeter.create();
  meter.arrived("orders", 0, false);
  meter.arrived("orders", 0, true);
  meter.arrived("orders", 2, false);
  meter.refused("orders", 2);
  meter.arrived("stock", 0, false);
  t.deepEqual(meter.take(), [
    { service: "orders", priority: 0, arrived: 2, returned: 1, refused: 0 },
    { service: "orders", priority: 2, arrived: 1, returned: 0, refused: 1 },
    { service: "stock", priority: 0, arrived: 1, returned: 0, refused: 0 },
  ]);
  t.deepEqual(meter.take(), []);
});

test("demand meter: a report has a bounded number of entries", (t) => {
  const meter = DemandMeter.create();
  for (let i = 0; i < 1_000; i++) meter.arrived(`service ${i}`, 0, false);
  t.is(meter.take().length, 64);
});
