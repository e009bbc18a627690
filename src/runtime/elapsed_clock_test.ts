/**
 * Clocks of a machine that is suspended for seconds: the steady clock does not count
 * that time, the time of day and the time since the start do. The time of day is also
 * set now and then, which is no time that has gone.
 */
import test from "ava";
import { type ClockJump, ElapsedClock } from "./elapsed_clock.ts";

/** A machine whose time is moved by the test. */
function createMachine(uptimeRate = 1) {
  const shown = { steady: 5_000, timeOfDay: 1_700_000_000_000, uptime: 90_000 };
  const clock = ElapsedClock.create({
    steady: () => shown.steady,
    timeOfDay: () => Math.floor(shown.timeOfDay),
    // In steps of 10 ms.
    uptime: () => Math.floor(shown.uptime / 10) * 10,
  });
  const run = (time: number) => {
    for (let i = 0; i < time; i += 50) {
      shown.steady += 50;
      shown.timeOfDay += 50;
      shown.uptime += 50 * uptimeRate;
      clock.now();
    }
  };
  const suspend = (time: number) => {
    shown.timeOfDay += time;
    shown.uptime += time * uptimeRate;
  };
  const set = (step: number) => {
    shown.timeOfDay += step;
  };
  const begun = clock.now();
  const elapsed = () => Math.round((clock.now() - begun) / 20) * 20;
  return { clock, run, suspend, set, elapsed };
}

test("elapsed clock: it counts the time for which the machine was suspended", (t) => {
  const { run, suspend, elapsed } = createMachine();
  run(30_000);
  suspend(4_000);
  t.is(elapsed(), 34_000);
  run(1_000);
  suspend(2_500);
  run(500);
  t.is(elapsed(), 38_000);
});

test("elapsed clock: a time of day that is set is no time that has gone", (t) => {
  const { run, set, elapsed } = createMachine();
  run(30_000);
  set(2_000);
  t.is(elapsed(), 30_000);
  run(5_000);
  set(-2_000);
  run(5_000);
  t.is(elapsed(), 40_000);
});

test("elapsed clock: it never goes back", (t) => {
  const { clock, run, suspend, set } = createMachine();
  let last = clock.now();
  for (const step of [-5_000, 3_000, -100, 40, 0]) {
    run(1_000);
    set(step);
    if (step === 0) suspend(700);
    t.true(clock.now() >= last);
    last = clock.now();
  }
});

test("elapsed clock: where the time since the start runs otherwise, a jump ahead is uncertain", (t) => {
  const { clock, run, suspend, set, elapsed } = createMachine(0.7);
  const jumps: ClockJump[] = [];
  clock.onJump((jump) => jumps.push(jump));
  run(30_000);
  suspend(4_000);
  t.is(elapsed(), 34_000);
  set(-4_000);
  run(1_000);
  t.is(elapsed(), 35_000);
  t.deepEqual(jumps, [{ gap: 4_000, isCertain: false }]);
});

test("elapsed clock: a suspension right after the start is uncertain", (t) => {
  const { clock, run, suspend, elapsed } = createMachine();
  const jumps: ClockJump[] = [];
  clock.onJump((jump) => jumps.push(jump));
  run(500);
  suspend(3_000);
  run(30_000);
  t.is(elapsed(), 33_500);
  suspend(2_000);
  t.is(elapsed(), 35_500);
  t.deepEqual(jumps.map(({ isCertain }) => isCertain), [false, true]);
});

test("elapsed clock: clocks that are slewed do not jump", (t) => {
  const { clock, run, set } = createMachine();
  let count = 0;
  clock.onJump(() => count += 1);
  for (let i = 0; i < 600; i++) {
    run(100);
    set(0.05);
  }
  t.is(count, 0);
});

test("elapsed clock: a time of day that is set back and then right again is no time that has gone", (t) => {
  const { run, set, suspend, elapsed } = createMachine(0.7);
  run(1_000);
  set(-3_000);
  run(1_000);
  set(3_000);
  t.is(elapsed(), 2_000);
  suspend(3_000);
  t.is(elapsed(), 5_000);
});

test("elapsed clock: a process that is stopped between two looks has seen no jump", (t) => {
  let steady = 1_000;
  let stop = 0;
  const clock = ElapsedClock.create({
    steady: () => steady,
    timeOfDay: () => {
      // It is stopped once, right before this look.
      steady += stop;
      stop = 0;
      return 1_700_000_000_000 + steady;
    },
    uptime: () => 90_000 + steady,
  });
  let count = 0;
  clock.onJump(() => count += 1);
  for (let i = 0; i < 200; i++) {
    steady += 50;
    if (i % 40 === 20) stop = 3_000;
    clock.now();
  }
  t.is(count, 0);
  t.is(clock.now(), steady);
});
