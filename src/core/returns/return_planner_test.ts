import test from "ava";
import { PromisedReturns } from "./promised_returns.ts";
import { ReturnPlanner } from "./return_planner.ts";
import { findWindow } from "./window_search.ts";

const CAPACITY = 1_000;
const REACH = 8_000 * 0.32;

/** Feeds a planner each 100 ms until `until`, and plans as often. */
function feed(
  planner: ReturnPlanner,
  from: number,
  until: number,
  arrived: readonly number[],
  returned = 0,
) {
  for (let now = from; now < until; now += 100) {
    arrived.forEach((rate, priority) => {
      const counts = {
        arrived: (rate + returned) / 10,
        returned: returned / 10,
        refused: 0,
      };
      planner.observe("s", priority, counts, now);
    });
    planner.plan("s", CAPACITY, now);
  }
}

function createPlanner(): ReturnPlanner {
  return ReturnPlanner.create(() => 8_000);
}

test("return planner: nothing is planned while the demand is below the capacity", (t) => {
  const planner = createPlanner();
  feed(planner, 0, 5_000, [300, 650]);
  t.is(planner.plan("s", CAPACITY, 5_000), null);
  t.is(planner.plan("other", CAPACITY, 5_000), null);
});

test("return planner: without a known end, returns are late in the callers' time", (t) => {
  const planner = createPlanner();
  feed(planner, 0, 5_000, [300, 550]);
  feed(planner, 5_000, 6_000, [300, 1_200]);
  const windows = planner.plan("s", CAPACITY, 6_000)!;
  const window = windows.find((each) => each.priority === 1)!;
  t.true(window.from >= 0.6 * REACH, `${window.from}`);
  // 150 of the 500 refused each second are promised a return.
  const share = (REACH - window.from) / (window.until - window.from);
  t.true(share > 0 && share < 0.5, `${share}`);
});

test("return planner: a priority that finds no capacity by rank gets a window beyond its callers' time", (t) => {
  const planner = createPlanner();
  feed(planner, 0, 5_000, [300, 690]);
  feed(planner, 5_000, 6_000, [1_300, 690]);
  const windows = planner.plan("s", CAPACITY, 6_000)!;
  // The more urgent requests alone exceed the capacity.
  t.deepEqual(windows.map(({ priority }) => priority), [0, 1]);
  const [urgent, other] = windows;
  t.true(urgent.from < REACH, `${urgent.from}`);
  t.true(other.from > 8_000, `${other.from}`);
  t.is(other.until, other.from);
});

// Guards against telling callers that there is no capacity in their time for
// lack of a place in the message.
test("return planner: a ninth priority and one without a timeout are not planned", (t) => {
  const planner = ReturnPlanner.create((_, priority) =>
    priority === 1 ? null : 8_000
  );
  const even = Array.from({ length: 10 }, () => 90);
  feed(planner, 0, 5_000, even);
  feed(planner, 5_000, 6_000, even.map((rate) => 2 * rate));
  const windows = planner.plan("s", CAPACITY, 6_000)!;
  const planned = windows.map(({ priority }) => priority);
  t.deepEqual(planned, [0, 2, 3, 4, 5, 6, 7, 8]);
});

// Guards against a forecast without demand for times of which the period before
// is in the future as well: such windows lie in the next crest.
test("return planner: beyond one period, the demand of earlier periods is expected", (t) => {
  const period = 5_000;
  const isCrest = (time: number) => time % period < 2_500;
  // The reach is 9.6 s. Free capacity remains in the troughs only.
  const planner = ReturnPlanner.create(() => 30_000);
  const rates = (now: number) => isCrest(now) ? [1_500] : [950];
  for (let now = 0; now < 21_000; now += 100) {
    feed(planner, now, now + 100, rates(now));
  }
  const windows = planner.plan("s", CAPACITY, 21_000)!;
  t.true(windows.length > 0);
  for (const { from } of windows) {
    // The requests of a report are taken to have arrived 250 ms before.
    const start = 21_000 + from + 250;
    t.true(start > 26_000 && !isCrest(start), `${start}`);
  }
});

test("return planner: the windows end 1 s after the overload", (t) => {
  const planner = createPlanner();
  feed(planner, 0, 5_000, [300, 550]);
  feed(planner, 5_000, 7_000, [300, 1_200]);
  feed(planner, 7_000, 8_000, [300, 550]);
  t.not(planner.plan("s", CAPACITY, 8_000), null);
  feed(planner, 8_000, 9_000, [300, 550]);
  t.is(planner.plan("s", CAPACITY, 9_000), null);
});

test("return planner: windows are added to the admissions of their service", (t) => {
  const planner = createPlanner();
  feed(planner, 0, 5_000, [300, 550]);
  feed(planner, 5_000, 6_000, [300, 1_200]);
  const admissions = [
    { service: "s", threshold: 1.6, wait: 20 },
    { service: "other", wait: 5 },
  ];
  const capacities = new Map([["s", CAPACITY], ["other", CAPACITY]]);
  const returns = planner.plan("s", CAPACITY, 6_000)!;
  t.deepEqual(planner.addWindows(admissions, capacities, 6_000), [
    { service: "s", threshold: 1.6, wait: 20, returns },
    { service: "other", wait: 5 },
  ]);
  // Without a threshold, callers are refused for other reasons than the demand.
  const unlimited = [{ service: "s", wait: 20 }];
  t.deepEqual(planner.addWindows(unlimited, capacities, 6_000), unlimited);
  t.deepEqual(planner.addWindows([], capacities, 6_000), []);
});

// Followers reject the whole answer if it lists more services.
test("return planner: admissions with windows are at most those of one message", (t) => {
  const admissions = Array.from({ length: 70 }, (_, i) => ({
    service: `s${i}`,
    threshold: 1,
    wait: 0,
  }));
  const complete = createPlanner().addWindows(admissions, new Map(), 0);
  t.deepEqual(complete, admissions.slice(0, 64));
});

// Windows that follow from a demand that was overloaded from the first report
// on would promise no return to any caller.
test("return planner: a new holder plans nothing before it knows 2 s without overload", (t) => {
  const planner = createPlanner();
  feed(planner, 0, 4_000, [300, 1_200]);
  t.is(planner.plan("s", CAPACITY, 4_000), null);
  planner.reset();
  t.is(planner.plan("s", CAPACITY, 4_000), null);
});

// Guards against a second promise of the capacity that a former holder has
// promised: the returns of its callers arrive without a known promise.
test("return planner: returns without a known promise lower the free capacity", (t) => {
  const shareWith = (returned: number) => {
    const planner = createPlanner();
    feed(planner, 0, 5_000, [300, 550]);
    feed(planner, 5_000, 6_000, [300, 1_200], returned);
    const [, window] = planner.plan("s", CAPACITY, 6_000)!;
    return (REACH - window.from) / (window.until - window.from);
  };
  t.true(shareWith(30) < 0.8 * shareWith(0), `${shareWith(30)}`);
});

// Guards against a second promise of the same capacity before the VMs have
// reported the first one, and against promises that never end: the ones of a
// VM that stopped before its report arrive without a known promise.
test("promised returns: the expected ones count until all VMs have reported", (t) => {
  const promised = PromisedReturns.create();
  promised.add(1, 2_000, 3_000, 100, 0);
  t.is(promised.rateAt(2_500, 0), 100);
  promised.reported(1, 90, 600);
  t.is(promised.rateAt(2_500, 1_199), 100);
  t.is(promised.rateAt(2_500, 1_200), 90);
  t.is(promised.rateAt(3_000, 1_200), 0);
  promised.reported(2, 90, 1_300);
  t.is(promised.rateAt(2_500, 1_300), 90);
});

test("promised returns: more than expected count at once, in the window of their answer", (t) => {
  const promised = PromisedReturns.create();
  promised.add(1, 1_000, 2_000, 10, 0);
  promised.add(1, 2_000, 3_000, 10, 250);
  promised.reported(1, 40, 600);
  t.is(promised.rateAt(1_500, 600), 40);
  t.is(promised.rateAt(2_500, 600), 10);
});

test("window search: no step gets more than its free capacity", (t) => {
  const free = [0, 5, 10, 10, -3, 30];
  t.deepEqual(findWindow(free, 18, "earliest"), {
    from: 2,
    until: 4,
    count: 18,
  });
  t.deepEqual(findWindow(free, 12, "longest"), {
    from: 1,
    until: 4,
    count: 12,
  });
  t.deepEqual(findWindow(free, 50, "earliest"), {
    from: 5,
    until: 6,
    count: 30,
  });
  t.is(findWindow([0, -1], 1, "earliest"), null);
});
