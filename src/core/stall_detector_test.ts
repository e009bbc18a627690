import test from "ava";
import { StallDetector } from "./stall_detector.ts";

test("stall detector: returns the time since a step was due, once", (t) => {
  const detector = StallDetector.create();
  t.is(detector.detect(5_000), 0);
  detector.expectStep(5_250);
  t.is(detector.detect(5_010), 0);
  t.is(detector.detect(7_250), 2_000);
  t.is(detector.detect(7_251), 0);
});

test("stall detector: a step that is slightly late is no stall", (t) => {
  const detector = StallDetector.create();
  detector.expectStep(1_000);
  t.is(detector.detect(1_099), 0);
  detector.expectStep(1_000);
  t.is(detector.detect(1_100), 100);
});

test("stall detector: keeps the largest lateness for some seconds", (t) => {
  const detector = StallDetector.create();
  const stepAt = (dueAt: number, now: number) => {
    detector.expectStep(dueAt);
    detector.detect(now);
  };
  t.is(detector.recentLateness, 0);
  stepAt(1_000, 1_300);
  stepAt(2_000, 2_010);
  t.is(detector.recentLateness, 300);
  stepAt(11_400, 11_420);
  t.is(detector.recentLateness, 20);
});
