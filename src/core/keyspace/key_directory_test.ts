import test from "ava";
import fc from "fast-check";
import { coversAllKeys, KEY_COUNT } from "./assignment.ts";
import { KeyDirectory } from "./key_directory.ts";
import { RangeTable } from "./range_table.ts";

test("key directory: changes reproduce the term holder's table after any splits and merges", (t) => {
  const action = fc.record({
    kind: fc.constantFrom("split", "state", "merge", "publish"),
    at: fc.nat(KEY_COUNT - 1),
    size: fc.nat(20_000),
    server: fc.constantFrom("a", "b", "c"),
  });
  fc.assert(
    fc.property(fc.array(action, { maxLength: 60, size: "max" }), (actions) => {
      const table = RangeTable.create("s");
      const directory = KeyDirectory.create();
      let version = 0;
      directory.apply(table.snapshot(1, version));
      let publishedRevision = table.revision;
      for (const { kind, at, size, server } of actions) {
        const range = table.ranges.find((each) => at <= each.last)!;
        if (kind === "split") {
          const last = Math.min(range.last, at + size);
          table.split(range, { first: Math.max(at, range.first), last });
        } else if (kind === "state") {
          range.state = range.state === "held" ? "closing" : "held";
          range.server = server;
          table.markChanged(range);
        } else if (kind === "merge") {
          table.mergeAdjacent(0);
        } else {
          const since = version;
          version += 1;
          const changes = table.changesSince(publishedRevision, 1, version);
          t.true(directory.applyChanges(changes, since));
          publishedRevision = table.revision;
          const { ranges } = directory.assignments[0];
          if (!coversAllKeys(ranges)) throw new Error("keys are missing");
          for (const each of table.ranges) {
            for (const key of [each.first, each.last]) {
              const found = directory.find("s", key)!;
              if (
                found.server !== each.server ||
                found.isOpen !== (each.state === "held")
              ) throw new Error(`key ${key}: ${JSON.stringify(found)}`);
            }
          }
        }
      }
    }),
    { numRuns: 300, seed: 9 },
  );
});

test("key directory: changes to another version are rejected", (t) => {
  const table = RangeTable.create("s");
  const directory = KeyDirectory.create();
  const changes = table.changesSince(table.revision, 1, 3);
  t.false(directory.applyChanges(changes, 2));
  directory.apply(table.snapshot(1, 1));
  t.false(directory.applyChanges(changes, 2));
  t.true(directory.applyChanges(changes, 1));
  t.is(directory.position.version, 3);
});

test("key directory: a new service is added by changes that contain all its keys", (t) => {
  const table = RangeTable.create("s");
  const directory = KeyDirectory.create();
  t.true(directory.applyChanges(table.changesSince(-1, 1, 3), 2));
  t.true(coversAllKeys(directory.assignments[0].ranges));
});
