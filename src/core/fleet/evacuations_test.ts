import test from "ava";
import { Evacuations } from "./evacuations.ts";

const read = (
  position: number,
  evacuated: string[],
  restored: string[] = [],
  isWhole = false,
) => ({ position, evacuated, restored, isWhole });

test("evacuations: zones are evacuated together and restored one by one", (t) => {
  const evacuations = Evacuations.create();
  t.is(evacuations.snapshot, null);
  t.deepEqual(evacuations.applyRead(read(1, ["a", "unknown"])), {
    evacuated: ["a", "unknown"],
    restored: [],
  });
  t.deepEqual(evacuations.applyRead(read(2, ["b", "a"])), {
    evacuated: ["b"],
    restored: [],
  });
  t.deepEqual(evacuations.applyRead(read(3, [], ["a", "never"])), {
    evacuated: [],
    restored: ["a"],
    missed: ["never"],
  });
  t.deepEqual(evacuations.zones, ["unknown", "b"]);
});

test("evacuations: a complete read replaces the known zones", (t) => {
  const evacuations = Evacuations.create();
  evacuations.applyRead(read(5, ["a"]));
  const change = evacuations.applyRead(read(6, ["b"], [], true));
  t.deepEqual(change, { evacuated: ["b"], restored: ["a"] });
});

test("evacuations: the state at the later position applies, whatever its source", (t) => {
  const reader = Evacuations.create();
  const follower = Evacuations.create();
  reader.applyRead(read(7, ["a"]));
  follower.applySnapshot(reader.snapshot!);
  t.true(follower.has("a"));
  reader.applyRead(read(9, [], ["a"]));
  const late = { position: 7, zones: ["a"] };
  follower.applySnapshot(reader.snapshot!);
  t.deepEqual(follower.applySnapshot(late), { evacuated: [], restored: [] });
  t.false(follower.has("a"));
  t.deepEqual(reader.applyRead(read(8, ["a"])), {
    evacuated: [],
    restored: [],
  });
});

/** Evacuations that were read in era 1: `kept` and, earlier, `ended`. */
function createInEra1(): Evacuations {
  const evacuations = Evacuations.create();
  evacuations.applyRead(read(4, ["ended"], [], true), 1);
  evacuations.applyRead(read(6, ["kept"], ["ended"]), 1);
  return evacuations;
}

// Guards against evacuations that end, and restored zones that are evacuated
// again, when the store returns from a copy that lacks what operators wrote.
test("evacuations: what the store has lost stays in force", (t) => {
  const evacuations = createInEra1();
  const change = evacuations.applyRead(read(4, ["ended"], [], true), 2);
  t.deepEqual(change, { evacuated: [], restored: [] });
  t.deepEqual(evacuations.zones, ["kept"]);
});

test("evacuations: operators end what the store has lost", (t) => {
  const evacuations = createInEra1();
  evacuations.applyRead(read(4, ["ended"], [], true), 2);
  t.deepEqual(evacuations.applyRead(read(5, [], ["kept"]), 2).restored, [
    "kept",
  ]);
  t.deepEqual(evacuations.applyRead(read(6, ["ended"]), 2).evacuated, [
    "ended",
  ]);
  t.deepEqual(evacuations.zones, ["ended"]);
});

test("evacuations: a zone that is written again ends like any other", (t) => {
  const evacuations = createInEra1();
  evacuations.applyRead(read(4, [], [], true), 2);
  evacuations.applyRead(read(5, ["kept"]), 2);
  evacuations.applyRead(read(7, [], [], true), 2);
  t.deepEqual(evacuations.zones, []);
});

test("evacuations: a VM that starts later learns of what the store has lost", (t) => {
  const holder = createInEra1();
  holder.applyRead(read(4, [], [], true), 2);
  const started = Evacuations.create();
  started.applyRead(read(4, [], [], true), 2);
  t.deepEqual(started.applySnapshot(holder.snapshot!).evacuated, ["kept"]);
  holder.applyRead(read(5, [], ["kept"]), 2);
  t.deepEqual(started.applySnapshot(holder.snapshot!).restored, ["kept"]);
});

test("evacuations: a VM that reads no feed continues in the holder's era", (t) => {
  const observer = createInEra1();
  const holder = Evacuations.create();
  holder.applyRead(read(2, ["other"], [], true), 2);
  observer.applySnapshot(holder.snapshot!);
  t.deepEqual(observer.zones, ["other", "kept"]);
  holder.applyRead(read(3, [], ["kept", "other"]), 2);
  observer.applySnapshot(holder.snapshot!);
  t.deepEqual(observer.zones, []);
});

test("evacuations: a state of an earlier era, or of an older version, is ignored", (t) => {
  const evacuations = Evacuations.create();
  evacuations.applyRead(read(2, ["a"], [], true), 2);
  for (const era of [undefined, 1]) {
    const change = evacuations.applySnapshot({ position: 9, zones: [], era });
    t.deepEqual(change, { evacuated: [], restored: [] });
  }
});

// Guards against VMs that send to cold servers without a limit, since they have
// learned of the evacuation of their zone and of its end in one moment.
test("evacuations: zones that were restored without being known as evacuated are reported once", (t) => {
  const reader = Evacuations.create();
  const follower = Evacuations.create();
  reader.applyRead(read(1, [], [], true));
  follower.applySnapshot(reader.snapshot!);
  const missed = { evacuated: [], restored: [], missed: ["a"] };
  t.deepEqual(reader.applyRead(read(3, [], ["a"])), missed);
  t.deepEqual(follower.applySnapshot(reader.snapshot!), missed);
  t.deepEqual(follower.applySnapshot(reader.snapshot!), {
    evacuated: [],
    restored: [],
  });
  // Later evacuations of other zones say nothing new of it.
  const evacuated = { evacuated: ["b"], restored: [] };
  t.deepEqual(reader.applyRead(read(5, ["b"])), evacuated);
  t.deepEqual(follower.applySnapshot(reader.snapshot!), evacuated);
  const restored = { evacuated: [], restored: ["b"] };
  t.deepEqual(reader.applyRead(read(6, [], ["b"])), restored);
  t.deepEqual(follower.applySnapshot(reader.snapshot!), restored);
});

test("evacuations: a VM that has just learned of a position has missed no restoration", (t) => {
  const reader = Evacuations.create();
  reader.applyRead(read(1, ["a"], [], true));
  reader.applyRead(read(3, [], ["a"]));
  const started = Evacuations.create();
  t.deepEqual(started.applySnapshot(reader.snapshot!), {
    evacuated: [],
    restored: [],
  });
});
