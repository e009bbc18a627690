import test from "ava";
import { Candidacy, fitnessOf } from "./candidacy.ts";

const SMALL = fitnessOf({ cores: 0.27, linkMegabits: 10 });
const LARGE = fitnessOf({ cores: 1.35, linkMegabits: 200 });

test("candidacy: what a VM has least of decides how fit it is", (t) => {
  t.is(SMALL, 0.5);
  t.is(fitnessOf({ cores: 0.1, linkMegabits: 1_000 }), 0.5);
});

test("candidacy: VMs that are alike all stand", (t) => {
  const candidacy = Candidacy.create(LARGE);
  candidacy.hear(LARGE, 0);
  candidacy.hear(SMALL, 0);
  t.true(candidacy.isStanding(10, false));
});

test("candidacy: a small VM stands by while a fitter one is heard of", (t) => {
  const candidacy = Candidacy.create(SMALL);
  t.true(candidacy.isStanding(0, false));
  candidacy.hear(LARGE, 100);
  t.false(candidacy.isStanding(110, false));
  t.false(candidacy.isStanding(3_100, false));
  t.true(candidacy.isStanding(3_101, false));
});

test("candidacy: a holder gives the place up after the others stood by", (t) => {
  const candidacy = Candidacy.create(SMALL);
  for (let now = 0; now < 1_500; now += 100) {
    candidacy.hear(LARGE, now);
    t.true(candidacy.isStanding(now, true));
  }
  t.false(candidacy.isStanding(1_500, true));
  t.is(candidacy.fittest(1_500), LARGE);
});
