import test from "ava";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import { Catalog, configurationSchema } from "../catalog/index.ts";
import { isRefusedForMemory } from "./memory_pressure.ts";

test("memory pressure: the least urgent requests are refused first", (t) => {
  const catalog = Catalog.create();
  catalog.apply(configurationSchema.parse({
    version: 1,
    services: [{ name: "s", maximumConnections: 10, isKeyed: false }],
    limits: {
      maximumHeaderBytes: 1_000,
      maximumBodyBytes: 1_000,
      headerTimeout: 1_000,
      idleTimeout: 1_000,
    },
    routes: [0, 1, 2].map((priority) => ({
      name: `${priority}`,
      host: "h",
      pathPrefix: `/${priority}/`,
      isIdempotent: true,
      destinations: [{ service: "s", weight: 1 }],
      timeout: 500,
      targetLatency: 200,
      maximumAttempts: 2,
      priority,
    })),
  }));
  /** Returns the priorities that are refused. */
  const refused = (memoryShare?: number) =>
    [0, 1, 2].filter((priority) => {
      const target = `/${priority}/`;
      const arrival = {
        exchange: 1,
        id: "r",
        host: "h",
        target,
        timeout: null,
        key: null,
        fingerprint: fingerprintOf("r"),
        memoryShare,
      };
      const route = catalog.route("h", target)!;
      return isRefusedForMemory(arrival, route, catalog);
    });
  t.deepEqual(refused(), []);
  t.deepEqual(refused(0.75), []);
  t.deepEqual(refused(0.76), [2]);
  t.deepEqual(refused(0.99), [2]);
  t.deepEqual(refused(1), [0, 1, 2]);
});
