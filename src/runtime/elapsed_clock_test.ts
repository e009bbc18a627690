/**
 * Tests with the clocks of a machine that is suspended for seconds: the steady
 * clock does not count that time, the time of day and the uptime do. The time
 * of day is also adjusted now and then, which is not elapsed time.
 */
import test from "ava";
import { type ClockJump, ElapsedClock } from "./elapsed_clock.ts";

/** Creates a machine whose clocks the test controls. */
function createMachine(uptimeRate = 1) {
  const readings = {
    steady: 5_000,
    timeOfDay: 1_700_000_000_000,
    uptime: 90_000,
  };
  const clock = ElapsedClock.create({
    steady: () => readings.steady,
    timeOfDay: () => Math.floor(readings.timeOfDay),
    // The uptime has a resolution of 10 ms.
    uptime: () => Math.floor(readings.uptime / 10) * 10,
  });
  const advance = (time: number) => {
    for (let i = 0; i < time; i += 50) {
      readings.steady += 50;
      readings.timeOfDay += 50;
      readings.uptime += 50 * uptimeRate;
      clock.now();
    }
  };
  const suspend = (time: number) => {
    readings.timeOfDay += time;
    readings.uptime += time * uptimeRate;
  };
  const adjustTimeOfDay = (step: number) => {
    readings.timeOfDay += step;
  };
  const startedAt = clock.now();
  const elapsed = () => Math.round((clock.now() - startedAt) / 20) * 20;
  return { clock, advance, suspend, adjustTimeOfDay, elapsed };
}

test("elapsed clock: includes time for which the machine was suspended", (t) => {
  const { advance, suspend, elapsed } = createMachine();
  advance(30_000);
  suspend(4_000);
  t.is(elapsed(), 34_000);
  advance(1_000);
  suspend(2_500);
  advance(500);
  t.is(elapsed(), 38_000);
});

test("elapsed clock: ignores adjustments of the time of day", (t) => {
  const { advance, adjustTimeOfDay, elapsed } = createMachine();
  advance(30_000);
  adjustTimeOfDay(2_000);
  t.is(elapsed(), 30_000);
  advance(5_000);
  adjustTimeOfDay(-2_000);
  advance(5_000);
  t.is(elapsed(), 40_000);
});

test("elapsed clock: never goes back", (t) => {
  const { clock, advance, suspend, adjustTimeOfDay } = createMachine();
  let last = clock.now();
  for (const step of [-5_000, 3_000, -100, 40, 0]) {
    advance(1_000);
    adjustTimeOfDay(step);
    if (step === 0) suspend(700);
    t.true(clock.now() >= last);
    last = clock.now();
  }
});

test("elapsed clock: a forward jump is uncertain if the uptime runs at another rate", (t) => {
  const { clock, advance, suspend, adjustTimeOfDay, elapsed } = createMachine(
    0.7,
  );
  const jumps: ClockJump[] = [];
  clock.onJump((jump) => jumps.push(jump));
  advance(30_000);
  suspend(4_000);
  t.is(elapsed(), 34_000);
  adjustTimeOfDay(-4_000);
  advance(1_000);
  t.is(elapsed(), 35_000);
  t.deepEqual(jumps, [{ gap: 4_000, isCertain: false }]);
});

test("elapsed clock: a suspension right after the start is uncertain", (t) => {
  const { clock, advance, suspend, elapsed } = createMachine();
  const jumps: ClockJump[] = [];
  clock.onJump((jump) => jumps.push(jump));
  advance(500);
  suspend(3_000);
  advance(30_000);
  t.is(elapsed(), 33_500);
  suspend(2_000);
  t.is(elapsed(), 35_500);
  t.deepEqual(jumps.map(({ isCertain }) => isCertain), [false, true]);
});

test("elapsed clock: slewed clocks do not jump", (t) => {
  const { clock, advance, adjustTimeOfDay } = createMachine();
  let count = 0;
  clock.onJump(() => count += 1);
  for (let i = 0; i < 600; i++) {
    advance(100);
    adjustTimeOfDay(0.05);
  }
  t.is(count, 0);
});

test("elapsed clock: ignores a step back of the time of day that is reversed", (t) => {
  const { advance, adjustTimeOfDay, suspend, elapsed } = createMachine(0.7);
  advance(1_000);
  adjustTimeOfDay(-3_000);
  advance(1_000);
  adjustTimeOfDay(3_000);
  t.is(elapsed(), 2_000);
  suspend(3_000);
  t.is(elapsed(), 5_000);
});

test("elapsed clock: a pause of the process between two readings is not a jump", (t) => {
  let steady = 1_000;
  let pauseDuration = 0;
  const clock = ElapsedClock.create({
    steady: () => steady,
    timeOfDay: () => {
      // The process is paused once, immediately before this reading.
      steady += pauseDuration;
      pauseDuration = 0;
      return 1_700_000_000_000 + steady;
    },
    uptime: () => 90_000 + steady,
  });
  let count = 0;
  clock.onJump(() => count += 1);
  for (let i = 0; i < 200; i++) {
    steady += 50;
    if (i % 40 === 20) pauseDuration = 3_000;
    clock.now();
  }
  t.is(count, 0);
  t.is(clock.now(), steady);
});
