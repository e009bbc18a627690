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
