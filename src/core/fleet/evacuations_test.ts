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
  t.is(evacuations.news, null);
  t.deepEqual(evacuations.read(read(1, ["a", "unknown"])), {
    evacuated: ["a", "unknown"],
    restored: [],
  });
  t.deepEqual(evacuations.read(read(2, ["b", "a"])), {
    evacuated: ["b"],
    restored: [],
  });
  t.deepEqual(evacuations.read(read(3, [], ["a", "never"])), {
    evacuated: [],
    restored: ["a"],
  });
  t.deepEqual(evacuations.zones, ["unknown", "b"]);
});

test("evacuations: a complete read replaces the known zones", (t) => {
  const evacuations = Evacuations.create();
  evacuations.read(read(5, ["a"]));
  const change = evacuations.read(read(6, ["b"], [], true));
  t.deepEqual(change, { evacuated: ["b"], restored: ["a"] });
});

test("evacuations: the state at the later position applies, whatever its source", (t) => {
  const reader = Evacuations.create();
  const follower = Evacuations.create();
  reader.read(read(7, ["a"]));
  follower.learn(reader.news!);
  t.true(follower.has("a"));
  reader.read(read(9, [], ["a"]));
  const late = { position: 7, zones: ["a"] };
  follower.learn(reader.news!);
  t.deepEqual(follower.learn(late), { evacuated: [], restored: [] });
  t.false(follower.has("a"));
  t.deepEqual(reader.read(read(8, ["a"])), { evacuated: [], restored: [] });
});
