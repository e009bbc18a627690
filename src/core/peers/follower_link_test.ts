import test from "ava";
import { FollowerLink, NO_SERVER_REPORTS } from "./follower_link.ts";

const SENDER = { term: 1, version: 1, configuration: 1 };

/** Returns when a follower sends reports while a service is busy. */
function reportTimes(vms: number, busyFrom: number, busyUntil: number) {
  const link = FollowerLink.create(() => 1);
  link.follow("holder", 1, 0, 0);
  const times: number[] = [];
  for (let now = 0; now <= 3_000; now += 10) {
    if (now >= busyFrom && now < busyUntil) link.hasten(vms, now);
    const effects = link.advance(
      now,
      SENDER,
      null,
      NO_SERVER_REPORTS,
      false,
      false,
    );
    if (effects.length > 0) times.push(now);
  }
  return times;
}

// Guards against a burst of 3 s that the holder learns of with regular reports,
// and against more reports than the holder of many VMs can answer.
test("follower link: reports are more frequent while a service is busy", (t) => {
  t.deepEqual(reportTimes(74, 610, 1_000), [
    ...[0, 500, 670, 870, 1_070, 1_270, 1_470, 1_670],
    ...[2_170, 2_670],
  ]);
  t.deepEqual(reportTimes(200, 610, 611), [
    ...[0, 500, 670, 970, 1_270],
    ...[1_770, 2_270, 2_770],
  ]);
});

// A timer that stays due without a holder would keep the process busy.
test("follower link: no report is due without a holder", (t) => {
  const link = FollowerLink.create(() => 1);
  link.hasten(4, 0);
  t.is(link.nextAt(), Infinity);
  link.follow("holder", 1, 0, 100);
  link.hasten(4, 100);
  t.is(link.nextAt(), 100, "the first report");
});
