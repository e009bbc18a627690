import test from "ava";
import { setImmediate as nextTurn } from "node:timers/promises";
import { ProcessSlots } from "./process_slots.ts";

/**
 * Deployments that run after all of them were asked for, and after each one in
 * turn, as long as one runs, was stopped twice.
 */
async function stepsOf(limit: number, sizes: readonly number[]) {
  const slots = ProcessSlots.create(limit);
  const running = new Map<number, () => void>();
  for (const [index, size] of sizes.entries()) {
    void slots.acquire(size).then((release) => running.set(index, release));
  }
  await nextTurn();
  const steps = [[...running.keys()]];
  for (let [first] = running; first !== undefined; [first] = running) {
    const [index, release] = first;
    release();
    release();
    running.delete(index);
    await nextTurn();
    steps.push([...running.keys()]);
  }
  return steps;
}

// Guards against tests that fail because another one starts a hundred processes
// beside them.
test("process slots: deployments wait in turn, and a large one runs alone", async (t) => {
  t.snapshot({
    "limit 40, ten of 13": await stepsOf(40, Array(10).fill(13)),
    "limit 40, one of 50 between": await stepsOf(40, [13, 50, 13, 13]),
    "limit 40, none": await stepsOf(40, []),
  });
});
