/**
 * Clocks of a machine that is suspended for seconds: the steady clock does not count
 * that time, the time of day and the time since the start do. The time of day is also
 * set now and then, which is no time that has gone.
 */
import test from "ava";
import { ElapsedClock } from "./elapsed_clock.ts";

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
