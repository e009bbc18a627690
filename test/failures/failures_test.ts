import test from "ava";
import { type Outcome, runScenario } from "./experiment.ts";
import { SCENARIOS } from "./scenarios.ts";

/**
 * Bound on the time without a served answer for a key, in milliseconds: far
 * above what is measured, so that a busy machine does not fail the test.
 */
const GENEROUS_GAP = 10_000;

/** What must hold whatever fails. */
function guarantees({ lost, doubled, crossed, breaches, ...rest }: Outcome) {
  return {
    lost,
    doubled,
    crossed,
    breaches,
    servedMost: rest.served > rest.sent * 0.9,
    gapIsBounded: rest.longestGap < GENEROUS_GAP,
  };
}

const tested = [
  "owner frozen, then back",
  "term holder frozen, then back",
  "owner killed while the log is out",
  "log loses the answers of appends",
  "servers reset, cut short, cross answers",
];

for (const name of tested) {
  test.serial(`failure: ${name}`, async (t) => {
    const scenario = SCENARIOS.find((each) => each.name === name)!;
    t.snapshot(guarantees(await runScenario(scenario)));
  });
}

test.serial("an availability zone that shuts down cuts nobody off", async (t) => {
  const scenario = SCENARIOS.find((each) =>
    each.name === "an availability zone shuts down"
  )!;
  const { sent, served, breaches } = await runScenario(scenario);
  t.true(sent > 0);
  t.is(served, sent);
  t.deepEqual(breaches, []);
});
