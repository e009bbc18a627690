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
  t.is(detector.detect(1_100), 100);
});
