import test from "ava";
import { KeyLoads, samplesIn } from "./key_load.ts";

/** Requests spread over all keys, 500 a second from 0 to `until`. */
function spread(until: number) {
  const load = KeyLoads.create().of("s");
  for (let now = 0; now < until; now += 2) load.record(now * 97 % 65_536, now);
  return load;
}

test("key load: a key that becomes busy counts for all that it is within half a second", (t) => {
  const load = spread(3_000);
  // From 3 s on every third request is for one key.
  for (let now = 3_000; now < 3_500; now += 2) {
    load.record(now % 3 === 0 ? 40_000 : now * 97 % 65_536, now);
  }
  const keys = load.sorted(3_500);
  const share = samplesIn(keys, { first: 40_000, last: 40_000 }) / keys.length;
  // Over the whole window it would be 0.06.
  t.true(share > 0.2, `${share}`);
});

test("key load: a range of keys that becomes busy is noticed as one key is", (t) => {
  const load = spread(3_000);
  for (let now = 3_000; now < 3_500; now += 2) {
    load.record(now % 3 === 0 ? 40_000 + now % 200 : now * 97 % 65_536, now);
  }
  const keys = load.sorted(3_500);
  const share = samplesIn(keys, { first: 40_000, last: 40_199 }) / keys.length;
  t.true(share > 0.2, `${share}`);
});

test("key load: an even load counts over the whole window", (t) => {
  t.is(spread(3_000).sorted(2_999).length, 1_500);
});
