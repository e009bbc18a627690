import test from "ava";
import { Catalog } from "./catalog.ts";
import { type Configuration, configurationSchema } from "./configuration.ts";
import { WeightedRotation } from "./weighted_rotation.ts";

/** Returns a configuration with one route for each path prefix. */
function configuration(version: number, prefixes: string[]): Configuration {
  return configurationSchema.parse({
    version,
    services: [{ name: "stock", maximumConnections: 10, isKeyed: true }],
    limits: {
      maximumHeaderBytes: 1_000,
      maximumBodyBytes: 1_000,
      headerTimeout: 1_000,
      idleTimeout: 1_000,
    },
    routes: prefixes.map((pathPrefix) => ({
      name: `route ${pathPrefix}`,
      host: "Shop.example",
      pathPrefix,
      isIdempotent: true,
      destinations: [{ service: "stock", weight: 1 }],
      timeout: 500,
      targetLatency: 200,
      maximumAttempts: 2,
      priority: 0,
    })),
  });
}

test("catalog: a request takes the route with the longest path prefix of its host", (t) => {
  const catalog = Catalog.create();
  catalog.apply(configuration(1, ["/", "/a/", "/a/b/"]));
  const find = (target: string, host = "shop.example") =>
    catalog.route(host, target)?.name ?? "none";
  t.snapshot({
    root: find("/"),
    file: find("/a"),
    first: find("/a/x"),
    second: find("/a/b/c/d"),
    query: find("/a/x?next=/a/b/"),
    otherHost: find("/a/", "other.example"),
    noSlash: find("*"),
  });
});

test("catalog: a configuration with the same or a lower version is ignored", (t) => {
  const catalog = Catalog.create();
  t.true(catalog.apply(configuration(5, ["/new/"])));
  t.false(catalog.apply(configuration(4, ["/old/"])));
  t.false(catalog.apply(configuration(5, ["/old/"])));
  t.is(catalog.version, 5);
  t.is(catalog.route("shop.example", "/old/x"), undefined);
});

test("rotation: every sequence of requests is divided by weight", (t) => {
  const rotation = WeightedRotation.create([
    { service: "a", weight: 90 },
    { service: "b", weight: 10 },
    { service: "c", weight: 0 },
  ]);
  const counts: Record<string, number> = { a: 0, b: 0, c: 0 };
  for (let i = 1; i <= 1_000; i++) {
    counts[rotation.next()] += 1;
    t.true(Math.abs(counts.b - i / 10) <= 1);
  }
  t.deepEqual(counts, { a: 900, b: 100, c: 0 });
});

// Guards against returns that are not planned for callers of routes without a
// timeout: the default applies to them.
test("catalog: routes without a timeout count with the default in the shortest one", (t) => {
  const catalog = Catalog.create();
  const [first, second] = configuration(1, ["/", "/a/"]).routes;
  const apply = (version: number, timeouts: number[]) =>
    catalog.apply({
      ...configuration(version, []),
      routes: [
        { ...first, timeout: timeouts[0] },
        { ...second, timeout: timeouts[1] },
      ],
    });
  apply(1, [0, 0]);
  t.is(catalog.shortestTimeout("stock", 0), 30_000);
  t.is(catalog.shortestTimeout("stock", 1), null);
  apply(2, [0, 8_000]);
  t.is(catalog.shortestTimeout("stock", 0), 8_000);
  apply(3, [0, 40_000]);
  t.is(catalog.shortestTimeout("stock", 0), 30_000);
});
