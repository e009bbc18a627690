import test from "ava";
import { variantOf, varySite } from "../tools/vary_site.ts";

const SITE = `zones = [
  { name = "north", region = "r" },
  { name = "south", region = "r" },
]
machines = [
  { class = "front", cpu_share = 0.5, zone = "north", count = 2, spare = 1 },
  { class = "front", cpu_share = 0.5, zone = "south", count = 3, spare = 1 },
]
services = [
  { name = "a", servers = [{ zone = "south", count = 4 }], slots = 3, sharded = true, warm_s = 5.0 },
  { name = "b", servers = [{ zone = "north", count = 1 }], slots = 3 },
]
classes = [
  { name = "read", aim_ms = 200, deadline_ms = 500, work_ms = { mean = 60.0, max = 360.0 }, req_bytes = { mean = 10.0, max = 20.0 } },
]
traffic = [
  { zone = "south", per_s = 100.0, clients = 9 },
]
`;

test("sites: a variant changes only the named properties", (t) => {
  t.snapshot(varySite(SITE, {
    zones: 1,
    vms: 0.3,
    servers: 0.5,
    times: 4,
    keyed: "all",
  }));
  const unchanged = {
    zones: 2,
    vms: 1,
    servers: 1,
    times: 1,
    keyed: "as before" as const,
  };
  t.is(
    varySite(SITE, unchanged).replace(/\d+\.\d+/g, String),
    SITE.replace(
      "aim_ms = 200, deadline_ms = 500",
      "aim_ms = 200.0, deadline_ms = 500.0",
    )
      .replace(/(mean|max|per_s) = (\d+)\.0/g, "$1 = $2.00")
      .replace("mean = 10.00, max = 20.00", "mean = 10.0, max = 20.0"),
  );
});

test("sites: seeds produce every value of each property", (t) => {
  const variants = Array.from({ length: 60 }, (_, seed) => variantOf(seed));
  const values = (of: (each: typeof variants[number]) => unknown) =>
    new Set(variants.map(of)).size;
  t.deepEqual(
    [
      values((each) => each.zones),
      values((each) => each.vms),
      values((each) => each.times),
      values((each) => each.keyed),
    ],
    [3, 3, 3, 3],
  );
});
