import test from "ava";
import { requestRank, thresholdFor } from "./request_rank.ts";

const DEMANDS = [
  { priority: 2, arrived: 100, returned: 0 },
  { priority: 0, arrived: 40, returned: 0 },
  { priority: 1, arrived: 50, returned: 10 },
];

test("rank: a threshold admits the most urgent requests that fit", (t) => {
  t.is(thresholdFor(DEMANDS, 200), null);
  t.is(thresholdFor(DEMANDS, 140), 2.5);
  t.is(thresholdFor(DEMANDS, 20), 0.5);
  t.is(thresholdFor(DEMANDS, 0), 0);
  t.is(thresholdFor([], 0), null);
});

// Guards against a threshold that counts returns, which are admitted first, as
// if they were spread over the priority.
test("rank: returns are admitted before new requests of their priority", (t) => {
  t.is(requestRank(1, 0.7, true), 1);
  t.is(requestRank(1, 0.7, false), 1.7);
  t.is(thresholdFor(DEMANDS, 70), 1.5);
  t.is(thresholdFor(DEMANDS, 46), 1.001);
  t.is(thresholdFor(DEMANDS, 44), 1);
});
