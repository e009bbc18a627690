import test from "ava";
import { Candidacy, fitnessOf } from "./candidacy.ts";

const SMALL = fitnessOf({ cores: 0.27, linkMegabits: 10 });
const LARGE = fitnessOf({ cores: 1.35, linkMegabits: 200 });

test("candidacy: the scarcest resource determines the fitness of a VM", (t) => {
  t.is(SMALL, 0.5);
  t.is(fitnessOf({ cores: 0.1, linkMegabits: 1_000 }), 0.5);
});

test("candidacy: VMs of equal fitness are all candidates", (t) => {
  const candidacy = Candidacy.create(LARGE);
  candidacy.observe(LARGE, 0);
  candidacy.observe(SMALL, 0);
  t.true(candidacy.isCandidate(10, false));
});

test("candidacy: a small VM is no candidate while a fitter one is known", (t) => {
  const candidacy = Candidacy.create(SMALL);
  t.true(candidacy.isCandidate(0, false));
  candidacy.observe(LARGE, 100);
  t.false(candidacy.isCandidate(110, false));
  t.false(candidacy.isCandidate(3_100, false));
  t.true(candidacy.isCandidate(3_101, false));
});

test("candidacy: a term holder remains a candidate until the other VMs have withdrawn", (t) => {
  const candidacy = Candidacy.create(SMALL);
  for (let now = 0; now < 1_500; now += 100) {
    candidacy.observe(LARGE, now);
    t.true(candidacy.isCandidate(now, true));
  }
  t.false(candidacy.isCandidate(1_500, true));
  t.is(candidacy.highestFitness(1_500), LARGE);
});

test("candidacy: a stall of this process does not count as silence of fitter VMs", (t) => {
  const candidacy = Candidacy.create(SMALL);
  candidacy.observe(LARGE, 100);
  candidacy.processStalled(5_000);
  t.false(candidacy.isCandidate(5_200, false));
  t.false(candidacy.isCandidate(8_100, false));
  t.true(candidacy.isCandidate(8_101, false));
});
