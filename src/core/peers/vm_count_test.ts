import test from "ava";
import { VmCount } from "./vm_count.ts";

test("VM count: a new holder with few reports does not lower it immediately", (t) => {
  const vms = VmCount.create();
  t.is(vms.value, null);
  vms.observe(11, 0);
  vms.observe(1, 500);
  vms.observe(4, 1_000);
  t.is(vms.value, 11);
  vms.observe(11, 1_500);
  t.is(vms.value, 11);
});

// Guards against shares that grow while VMs are only cut off from the term
// holder and still use theirs.
test("VM count: it falls once all counts of five minutes are lower", (t) => {
  const vms = VmCount.create();
  vms.observe(11, 0);
  for (let now = 500; now < 300_000; now += 500) {
    vms.observe(8, now);
    t.is(vms.value, 11);
  }
  vms.observe(7, 300_000);
  t.is(vms.value, 8);
  vms.observe(12, 300_500);
  t.is(vms.value, 12);
});
