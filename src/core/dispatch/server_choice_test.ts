import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { Catalog, configurationSchema } from "../catalog/index.ts";
import { Fleet, type ReportedLoad, TrackedServer } from "../fleet/index.ts";
import { RateTokens, ServerLimits } from "../rates/index.ts";
import { ServerPaths, ServerReach } from "../reach/index.ts";
import { chooseServer, hasCapacity } from "./server_choice.ts";

/**
 * Number of requests that one of eight VMs may send at `now` to a server with 3
 * slots, after a response at 100 ms that reported `load`.
 */
function capacity(load: ReportedLoad | null, now: number): number {
  const server = TrackedServer.create(backendServer("i", { address: "h:1" }));
  server.started(0, 0);
  server.answered(0, 100, load);
  let count = 0;
  while (hasCapacity(server, now, 8)) server.started(count += 1, now);
  return count;
}

test("server capacity: a VM may fill the slots of a server that has just reported a low load", (t) => {
  const idle = { running: 0, waiting: 0, slots: 3 };
  const full = { running: 3, waiting: 2, slots: 3 };
  t.deepEqual(
    {
      unknown: capacity(null, 150),
      idle: capacity(idle, 150),
      full: capacity(full, 150),
    },
    { unknown: 2, idle: 3, full: 2 },
  );
  t.is(capacity(idle, 600), 2);
});

test("server capacity: a VM that does not know the load may use half of the slots, and fewer after a refusal", (t) => {
  const create = () =>
    TrackedServer.create(backendServer("i", { address: "h:1", slots: 6 }));
  const countAccepted = (
    server: TrackedServer,
    firstAttempt: number,
    now: number,
  ) => {
    let count = 0;
    while (hasCapacity(server, now, 91)) {
      server.started(firstAttempt + count, now);
      count += 1;
    }
    return count;
  };
  t.is(countAccepted(create(), 0, 10_000), 3);
  const overloaded = create();
  overloaded.started(0, 0);
  overloaded.refused(0, 5, null);
  t.is(countAccepted(overloaded, 1, 400), 1);
  t.is(countAccepted(overloaded, 10, 1_000), 2);
});

// Guards against a share that is computed with a number of VMs that is assumed,
// which 195 or 300 VMs exceed.
test("server capacity: a VM that does not know the number of VMs sends one request to a server that has just refused one", (t) => {
  const server = TrackedServer.create(
    backendServer("i", { address: "h:1", slots: 6 }),
  );
  server.started(0, 0);
  server.refused(0, 5, null);
  t.true(hasCapacity(server, 400, null));
  server.started(1, 400);
  t.false(hasCapacity(server, 400, null));
});

test("server choice: a cold server is preferred to equal warm ones once a token is granted, for one request", (t) => {
  const catalog = Catalog.create();
  catalog.apply(configurationSchema.parse({
    version: 1,
    routes: [],
    services: [{
      name: "s",
      maximumConnections: 9,
      isKeyed: false,
      warmUp: { duration: 3_000, requestsPerSecond: 4.3 },
    }],
    limits: {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeout: 1,
      idleTimeout: 1,
    },
  }));
  const fleet = Fleet.create();
  const warm = ["a", "b", "c"].map((id) => backendServer(id));
  const cold = backendServer("cold", { warmUp: 3_000 });
  fleet.apply([...warm, cold], [], 0);
  let requested = 0;
  const tokens = RateTokens.create(
    ServerLimits.create(catalog),
    {
      requestToken: () => {
        requested += 1;
        return null;
      },
    },
    () => 1,
    () => 0.5,
  );
  const choose = (now: number) =>
    chooseServer("s", [], now, {
      fleet,
      availabilityZone: "a",
      vmCount: 1,
      tokens,
      paths: ServerPaths.create(ServerReach.create(fleet, () => 0.5)),
      isUrgent: true,
      hasBodyRoom: () => true,
      draw: () => 0.5,
    })!;
  t.not(choose(0).id, "cold");
  t.is(requested, 1);
  const server = fleet.get("cold")!;
  tokens.applyAnswer(server, { isGranted: true, left: 0 }, 4);
  t.is(choose(5).id, "cold");
  tokens.requestSent(server, 5);
  t.not(choose(6).id, "cold");
});
