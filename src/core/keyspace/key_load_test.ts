import test from "ava";
import { countInRange, KeyLoads } from "./key_load.ts";

/** Records requests spread over all keys, 500 a second from 0 to `until` ms. */
function recordEvenLoad(until: number) {
  const load = KeyLoads.create().of("s");
  for (let now = 0; now < until; now += 2) load.record(now * 97 % 65_536, now);
  return load;
}

test("key load: a key that becomes busy gets its full weight within half a second", (t) => {
  const load = recordEvenLoad(3_000);
  // From 3 s on, every third request is for one key.
  for (let now = 3_000; now < 3_500; now += 2) {
    load.record(now % 3 === 0 ? 40_000 : now * 97 % 65_536, now);
  }
  const keys = load.windowKeys(3_500);
  const share = countInRange(keys, { first: 40_000, last: 40_000 }) /
    keys.length;
  // Over the whole window the share would be 0.06.
  t.true(share > 0.2, `${share}`);
});

test("key load: a surge of requests for a range of keys is detected like that for one key", (t) => {
  const load = recordEvenLoad(3_000);
  for (let now = 3_000; now < 3_500; now += 2) {
    load.record(now % 3 === 0 ? 40_000 + now % 200 : now * 97 % 65_536, now);
  }
  const keys = load.windowKeys(3_500);
  const share = countInRange(keys, { first: 40_000, last: 40_199 }) /
    keys.length;
  t.true(share > 0.2, `${share}`);
});

test("key load: an even load counts over the whole window", (t) => {
  t.is(recordEvenLoad(3_000).windowKeys(2_999).length, 1_500);
});
