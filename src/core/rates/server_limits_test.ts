import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { Catalog, configurationSchema } from "../catalog/index.ts";
import { Fleet } from "../fleet/index.ts";
import { ServerLimits } from "./server_limits.ts";

const SERVICE = "orders";
const RATE = 4.3;
const WARM_UP = 3_000;
const COLD = { requestsPerSecond: RATE, isWarmUp: true, since: 0 };

function limitsWith(
  warmUp?: { duration: number; requestsPerSecond: number },
): ServerLimits {
  const catalog = Catalog.create();
  catalog.apply(configurationSchema.parse({
    version: 1,
    routes: [],
    services: [
      { name: SERVICE, maximumConnections: 9, isKeyed: false, warmUp },
    ],
    limits: {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeout: 1,
      idleTimeout: 1,
    },
  }));
  return ServerLimits.create(catalog);
}

const LIMITS = limitsWith({ duration: WARM_UP, requestsPerSecond: RATE });

function fleetWith(warmUp: number, now: number): Fleet {
  const fleet = Fleet.create();
  const entry = backendServer("s", {
    service: SERVICE,
    address: "s:1",
    warmUp,
  });
  fleet.apply([entry], [], now);
  return fleet;
}

test("server limits: a warm server and a service without warm-up settings have no limit", (t) => {
  const limitOf = (limits: ServerLimits, warmUp: number, now: number) =>
    limits.of(fleetWith(warmUp, 0).get("s")!, now);
  t.deepEqual({
    cold: limitOf(LIMITS, WARM_UP, 10),
    later: limitOf(LIMITS, WARM_UP, WARM_UP),
    warm: limitOf(LIMITS, 0, 10),
    unlimited: limitOf(limitsWith(), WARM_UP, 10),
  }, { cold: COLD, later: null, warm: null, unlimited: null });
});

test("server limits: the servers of a restored zone count as cold for the duration of a warm-up", (t) => {
  const fleet = fleetWith(0, 0);
  const server = fleet.get("s")!;
  const zone = server.entry.availabilityZone;
  fleet.applyEvacuations({ evacuated: [zone], restored: [] }, 100);
  t.true(server.isLeaving);
  fleet.applyEvacuations({ evacuated: [], restored: [zone] }, 5_000);
  t.false(server.isLeaving);
  t.deepEqual(LIMITS.of(server, 5_001), { ...COLD, since: 5_000 });
  t.is(LIMITS.of(server, 5_000 + WARM_UP), null);
});

test("server limits: a server that refused connections counts as cold when it accepts them again", (t) => {
  const server = fleetWith(0, 0).get("s")!;
  server.started(1, 0);
  server.connectionRefused();
  server.failed(1, 1);
  t.true(LIMITS.of(server, 20_000)?.isWarmUp);
  // The first requests are limited, however long ago the refusal was.
  t.true(LIMITS.of(server, 50_000)?.isWarmUp);
  server.started(2, 58_000);
  server.answered(2, 58_100, null);
  t.deepEqual(LIMITS.of(server, 58_200), { ...COLD, since: 58_100 });
  t.is(LIMITS.of(server, 58_100 + WARM_UP), null);
});

test("server limits: the lower limit of a cold server applies", (t) => {
  const server = fleetWith(WARM_UP, 0).get("s")!;
  server.rateLimit.applyResponse(2, 0, 0);
  t.deepEqual(LIMITS.of(server, 10), { ...COLD, requestsPerSecond: 2 });
  server.rateLimit.applyResponse(9, 11, 11);
  t.deepEqual(LIMITS.of(server, 12), COLD);
  t.deepEqual(LIMITS.of(server, WARM_UP), {
    requestsPerSecond: 9,
    isWarmUp: false,
    since: -Infinity,
  });
});
