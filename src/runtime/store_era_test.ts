import test from "ava";
import { type IgnoredEra, StoreEra } from "./store_era.ts";

const stated = (era: number) => ({ kind: "stated", era }) as const;
const ABSENT = { kind: "absent" } as const;

function createEra() {
  const era = StoreEra.create();
  const changes: (number | null)[][] = [];
  const ignored: IgnoredEra[] = [];
  era.onChange((next, former) => changes.push([former, next]));
  era.onIgnored((each) => ignored.push(each));
  /** Whether an answer is used; by default to a call sent in this era. */
  const isUsed = (
    reading: Parameters<StoreEra["accept"]>[0],
    sentIn = era.current,
  ) => era.accept(reading, sentIn) === null;
  return { era, changes, ignored, isUsed };
}

test("store era: calls that were sent before the first answer belong to its era", (t) => {
  const { changes, isUsed } = createEra();
  t.true(isUsed(stated(7), null));
  t.true(isUsed(stated(7), null));
  t.deepEqual(changes, [[null, 7]]);
});

test("store era: answers to calls of an earlier era are not used", (t) => {
  const { changes, isUsed } = createEra();
  isUsed(stated(7));
  t.false(isUsed(stated(8)));
  t.false(isUsed(stated(8), 7));
  t.false(isUsed(stated(8), null));
  t.true(isUsed(stated(8)));
  t.deepEqual(changes, [[null, 7], [7, 8]]);
});

test("store era: a lower era is an answer from the past", (t) => {
  const { ignored, isUsed } = createEra();
  isUsed(stated(7));
  t.false(isUsed(stated(6)));
  t.deepEqual(ignored, [{ reason: "lower", value: "6" }]);
});

test("store era: an older store states none, and all its answers are used", (t) => {
  const { ignored, changes, isUsed } = createEra();
  t.true(isUsed(ABSENT));
  t.true(isUsed(ABSENT));
  t.deepEqual([...ignored, ...changes], []);
});

test("store era: an answer without an era after others is used and reported", (t) => {
  const { ignored, isUsed } = createEra();
  isUsed(stated(7));
  t.true(isUsed(ABSENT));
  t.deepEqual(ignored, [{ reason: "absent", value: null }]);
  isUsed(stated(8));
  t.false(isUsed(ABSENT, 7));
});

test("store era: the first era after answers without one is a change", (t) => {
  const { changes, isUsed } = createEra();
  isUsed(ABSENT);
  t.false(isUsed(stated(3), null));
  t.true(isUsed(stated(3)));
  t.deepEqual(changes, [[null, 3]]);
});

test("store era: eras may be missed, but not by far", (t) => {
  const { ignored, changes, isUsed } = createEra();
  isUsed(stated(7));
  isUsed(stated(1_007));
  t.true(isUsed(stated(1_007)));
  t.false(isUsed(stated(2_008)));
  t.deepEqual(changes, [[null, 7], [7, 1_007]]);
  t.deepEqual(ignored, [{ reason: "jump", value: "2008" }]);
});

test("store era: an era that another VM knows makes earlier answers unusable", (t) => {
  const { era, isUsed } = createEra();
  isUsed(stated(7));
  t.true(era.learn(8));
  t.false(isUsed(stated(7), 7));
  t.false(isUsed(stated(8), 7));
  t.true(isUsed(stated(8)));
  t.false(era.learn(5_000));
});
