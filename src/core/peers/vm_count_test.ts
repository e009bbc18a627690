import test from "ava";
import { VmCount } from "./vm_count.ts";

test("VM count: a new holder that has heard few does not lower it at once", (t) => {
  const vms = VmCount.create();
  t.is(vms.value, null);
  vms.heard(11, 0);
  vms.heard(1, 500);
  vms.heard(4, 1_000);
  t.is(vms.value, 11);
  vms.heard(11, 1_500);
  t.is(vms.value, 11);
});

test("VM count: it follows VMs that have left for a whole window", (t) => {
  const vms = VmCount.create();
  vms.heard(11, 0);
  for (let now = 500; now < 10_000; now += 500) {
    vms.heard(8, now);
    t.is(vms.value, 11);
  }
  vms.heard(7, 10_000);
  t.is(vms.value, 8);
  vms.heard(12, 10_500);
  t.is(vms.value, 12);
});
