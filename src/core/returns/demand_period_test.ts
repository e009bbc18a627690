import test from "ava";
import { createUniformGenerator } from "../random.ts";
import { findPeriod } from "./demand_period.ts";

/** 60 samples of a rate with uniform noise of up to 10 %. */
function samples(rate: (i: number) => number): number[] {
  const draw = createUniformGenerator(3);
  return Array.from(
    { length: 60 },
    (_, i) => rate(i) * (0.9 + 0.2 * draw()),
  );
}

test("demand period: a wave of 26 samples is found once two periods are known", (t) => {
  const wave = samples((i) => 100 + 55 * Math.sin(2 * Math.PI * i / 26));
  const period = findPeriod(wave);
  t.true(Math.abs(period! - 26) < 0.5, `${period}`);
  t.is(findPeriod(wave.slice(0, 50)), null);
});

// A period that is found in a single burst would predict another one, and a
// rise of the demand would predict its end.
test("demand period: bursts, steps and even demand are not periodic", (t) => {
  const isBurst = (i: number, from: number) => i >= from && i < from + 14;
  for (let from = 0; from < 60; from += 3) {
    t.is(findPeriod(samples((i) => isBurst(i, from) ? 220 : 100)), null);
    t.is(findPeriod(samples((i) => i >= from ? 220 : 100)), null);
  }
  t.is(findPeriod(samples(() => 100)), null);
  t.is(findPeriod(samples(() => 0)), null);
  t.is(findPeriod([]), null);
});
