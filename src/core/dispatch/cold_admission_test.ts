import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { Catalog, configurationSchema } from "../catalog/index.ts";
import { Fleet } from "../fleet/index.ts";
import { createUniformGenerator } from "../random.ts";
import { ServerPaths, ServerReach } from "../reach/index.ts";
import { RateTokens } from "../rates/index.ts";
import { ColdAdmission } from "./cold_admission.ts";
import { chooseServer } from "./server_choice.ts";

const SERVICE = "orders";
const RATE = 4.3;
const WARM_UP = 3_000;
/** Maximum requests in any second that operators permit for a cold server. */
const MAXIMUM_PER_SECOND = Math.floor(RATE * 1.5 + 8);

function catalogWith(warmUp?: { duration: number; requestsPerSecond: number }) {
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
  return catalog;
}

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

interface Scenario {
  vmCount: number;
  seed: number;
  /** Time at which each VM discovers the server, in milliseconds. */
  discoversAt: (vm: number) => number;
  /** Requests per second of all callers. */
  rate: number;
}

/**
 * Times at which VMs send to one cold server if each VM sends all requests that
 * it may send, in milliseconds.
 */
function sendTimes({ vmCount, seed, discoversAt, rate }: Scenario): number[] {
  const catalog = catalogWith({ duration: WARM_UP, requestsPerSecond: RATE });
  const draw = createUniformGenerator(seed);
  const entries = Array.from({ length: vmCount }, (_, vm) => ({
    admission: ColdAdmission.create(catalog, () => vmCount, draw),
    fleet: fleetWith(WARM_UP, discoversAt(vm)),
    from: discoversAt(vm),
  }));
  const times: number[] = [];
  for (let now = 0; now < WARM_UP; now += 1_000 / rate) {
    const { admission, fleet, from } = entries[Math.floor(draw() * vmCount)];
    const server = fleet.get("s")!;
    if (now < from || !admission.maySend(server, now)) continue;
    admission.requestSent(server, now);
    times.push(now);
  }
  return times;
}

/** Maximum number of `times` within one second. */
function maximumPerSecond(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map((from) =>
      times.filter((at) => at >= from && at < from + 1_000).length
    ),
  );
}

const SCENARIOS: [string, Omit<Scenario, "seed">][] = [
  ["61 VMs discover it at the same time", {
    vmCount: 61,
    discoversAt: () => 0,
    rate: 2_000,
  }],
  ["61 VMs discover it one after another", {
    vmCount: 61,
    discoversAt: (vm) => 25 * vm,
    rate: 2_000,
  }],
  ["11 VMs with a high request rate", {
    vmCount: 11,
    discoversAt: () => 0,
    rate: 5_000,
  }],
  ["300 VMs", { vmCount: 300, discoversAt: (vm) => vm, rate: 5_000 }],
];

for (const [name, scenario] of SCENARIOS) {
  test(`cold admission: all VMs together stay within the limit of a server: ${name}`, (t) => {
    let most = 0;
    let fewest = Infinity;
    for (let seed = 1; seed <= 200; seed++) {
      const times = sendTimes({ ...scenario, seed });
      most = Math.max(most, maximumPerSecond(times));
      fewest = Math.min(fewest, times.length);
    }
    t.log(`most in a second ${most}, fewest in total ${fewest}`);
    t.true(
      most <= MAXIMUM_PER_SECOND,
      `${most} in a second, ${MAXIMUM_PER_SECOND} permitted`,
    );
  });
}

test("cold admission: a warm server and a service without warm-up settings have no limit", (t) => {
  const limited = catalogWith({ duration: WARM_UP, requestsPerSecond: RATE });
  const maySend = (catalog: Catalog, warmUp: number, now: number) =>
    ColdAdmission.create(catalog, () => 61, () => 0.5)
      .maySend(fleetWith(warmUp, 0).get("s")!, now);
  t.deepEqual({
    cold: maySend(limited, WARM_UP, 10),
    later: maySend(limited, WARM_UP, WARM_UP),
    warm: maySend(limited, 0, 10),
    unlimited: maySend(catalogWith(), WARM_UP, 10),
  }, { cold: false, later: true, warm: true, unlimited: true });
});

test("cold admission: the servers of a restored zone count as cold for the duration of a warm-up", (t) => {
  const catalog = catalogWith({ duration: WARM_UP, requestsPerSecond: RATE });
  const admission = ColdAdmission.create(catalog, () => 61, () => 0.5);
  const fleet = fleetWith(0, 0);
  const server = fleet.get("s")!;
  const zone = server.entry.availabilityZone;
  fleet.applyEvacuations({ evacuated: [zone], restored: [] }, 100);
  t.true(server.isLeaving);
  fleet.applyEvacuations({ evacuated: [], restored: [zone] }, 5_000);
  t.false(server.isLeaving);
  t.false(admission.maySend(server, 5_001));
  t.true(admission.maySend(server, 5_000 + WARM_UP));
});

test("cold admission: a server that refused connections counts as cold when it accepts them again", (t) => {
  const catalog = catalogWith({ duration: WARM_UP, requestsPerSecond: RATE });
  const admission = ColdAdmission.create(catalog, () => 61, () => 0.5);
  const server = fleetWith(0, 0).get("s")!;
  server.started(1, 0);
  server.connectionRefused();
  server.failed(1, 1);
  t.false(admission.maySend(server, 20_000));
  // The first requests are limited, however long ago the refusal was.
  t.false(admission.maySend(server, 50_000));
  server.started(2, 58_000);
  admission.requestSent(server, 58_000);
  server.answered(2, 58_100, null);
  t.false(admission.maySend(server, 58_200));
  t.true(admission.maySend(server, 58_100 + WARM_UP));
});

test("cold admission: a cold server that may receive a request is preferred to equal warm ones", (t) => {
  const catalog = catalogWith({ duration: WARM_UP, requestsPerSecond: RATE });
  const admission = ColdAdmission.create(catalog, () => 1, () => 0.5);
  const fleet = fleetWith(WARM_UP, 0);
  const warm = ["a", "b", "c"].map((id) =>
    backendServer(id, { service: SERVICE, address: `${id}:1` })
  );
  fleet.apply(warm, [], 0);
  const choose = (now: number) =>
    chooseServer(SERVICE, [], now, {
      fleet,
      availabilityZone: fleet.get("s")!.entry.availabilityZone,
      vmCount: 1,
      coldAdmission: admission,
      tokens: RateTokens.create(
        { requestToken: () => null },
        () => 1,
        () => 0.5,
      ),
      paths: ServerPaths.create(ServerReach.create(fleet, () => 0.5)),
      isUrgent: true,
      draw: () => 0.5,
    })!;
  t.not(choose(0).id, "s");
  const firstSendAt = 0.5 * 1_000 / RATE;
  const chosen = choose(firstSendAt);
  t.is(chosen.id, "s");
  admission.requestSent(chosen, firstSendAt);
  t.not(choose(firstSendAt + 1).id, "s");
});
