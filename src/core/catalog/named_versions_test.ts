import test from "ava";
import { NamedVersions } from "./named_versions.ts";

test("named versions: a version is missing since it was first named, whatever is named later", (t) => {
  const named = NamedVersions.create();
  t.is(named.missingSince, Infinity);
  named.name(3, 3, 5);
  t.is(named.newest, -1);
  named.name(5, 3, 10);
  named.name(4, 3, 20);
  named.name(5, 3, 30);
  named.name(7, 3, 40);
  t.deepEqual([named.newest, named.missingSince], [7, 10]);
  named.applied(5);
  t.deepEqual([named.newest, named.missingSince], [7, 40]);
  named.applied(8);
  t.deepEqual([named.newest, named.missingSince], [-1, Infinity]);
});

test("named versions: the first and the newest are kept, however many are missing", (t) => {
  const named = NamedVersions.create();
  for (let i = 1; i <= 1_000; i++) named.name(i, 0, i);
  t.deepEqual([named.newest, named.missingSince], [1_000, 1]);
});
