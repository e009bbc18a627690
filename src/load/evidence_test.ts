import test from "ava";
import {
  type Evidence,
  type FinalAnswer,
  findFalseRefusals,
  findInventedAnswers,
  findRepeatedAnswers,
  findRepeatedRuns,
  findReversions,
  findSecondOwners,
  type WorkStart,
} from "./evidence.ts";

function start(requestId: string, at: number, server: string, token: number) {
  const work: WorkStart = {
    requestId,
    at,
    server,
    token,
    service: "leased",
    slot: 1,
  };
  return work;
}

function answer(requestId: string, kind: FinalAnswer["kind"]): FinalAnswer {
  return {
    call: requestId,
    requestId,
    kind,
    at: 9,
    arrivedAt: 0,
    reason: "because",
  };
}

function evidence(parts: Partial<Evidence>): Evidence {
  return { starts: [], answers: [], revisions: [], ...parts };
}

test("findSecondOwners: objects to work under an older token", (t) => {
  const starts = [start("a", 1, "one", 5), start("b", 2, "two", 6)];
  const late = start("c", 3, "one", 5);
  t.snapshot({
    sound: findSecondOwners(evidence({ starts })),
    broken: findSecondOwners(evidence({ starts: [...starts, late] })),
  });
});

test("findSecondOwners: objects to two servers under one token", (t) => {
  const starts = [start("a", 1, "one", 5), start("b", 2, "two", 5)];
  t.snapshot(findSecondOwners(evidence({ starts })));
});

test("findRepeatedRuns: objects to a second run", (t) => {
  const starts = [start("a", 1, "one", 5), start("a", 2, "one", 5)];
  t.snapshot(findRepeatedRuns(evidence({ starts })));
});

test("findFalseRefusals: objects to not-run of what ran", (t) => {
  const starts = [start("a", 1, "one", 5)];
  const answers = [answer("a", "not-run"), answer("b", "not-run")];
  t.snapshot(findFalseRefusals(evidence({ starts, answers })));
});

test("findFalseRefusals: excuses only work of a later call", (t) => {
  const starts = [start("a", 12, "one", 5)];
  const refused = answer("a", "not-run");
  const later: FinalAnswer = {
    ...answer("a", "served"),
    call: "a again",
    arrivedAt: 10,
    at: 14,
  };
  const earlier: FinalAnswer = { ...later, arrivedAt: 2, at: 4 };
  t.snapshot({
    sentAgain: findFalseRefusals(
      evidence({ starts, answers: [refused, later] }),
    ),
    endedBefore: findFalseRefusals(
      evidence({ starts, answers: [refused, earlier] }),
    ),
    ranBefore: findFalseRefusals(evidence({
      starts: [start("a", 5, "one", 5)],
      answers: [refused, later],
    })),
  });
});

test("findRepeatedAnswers: objects to a second answer", (t) => {
  const answers = [answer("a", "served"), answer("a", "unknown")];
  t.snapshot(findRepeatedAnswers(evidence({ answers })));
});

test("findInventedAnswers: objects to an answer of nothing", (t) => {
  t.snapshot(
    findInventedAnswers(evidence({ answers: [answer("a", "served")] })),
  );
});

test("findReversions: objects to an older revision after a newer", (t) => {
  const applied = (revision: number) => ({ at: 0, vm: "v", run: 0, revision });
  const revisions = [applied(3), applied(8), applied(3)];
  t.snapshot(findReversions(evidence({ revisions })));
});
