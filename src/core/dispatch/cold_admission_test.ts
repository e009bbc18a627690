import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { Catalog, configurationSchema } from "../catalog/index.ts";
import { Fleet } from "../fleet/index.ts";
import { uniformFloat64 } from "../random.ts";
import { RateTokens } from "../rates/index.ts";
import { ColdAdmission } from "./cold_admission.ts";
import { chooseServer } from "./server_choice.ts";

const SERVICE = "orders";
const RATE = 4.3;
const WARM_UP = 3_000;
/** Requests that a cold server bears in any second, as operators state it. */
const BOUND = Math.floor(RATE * 1.5 + 8);

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

interface Burst {
  vms: number;
  seed: number;
  /** When each VM learns of the server, in milliseconds. */
  learnsAt: (vm: number) => number;
  /** Requests of all callers in a second. */
  rate: number;
}

/** Times at which VMs send to one cold server, when each sends whatever it may. */
function sends({ vms, seed, learnsAt, rate }: Burst): number[] {
  const catalog = catalogWith({ duration: WARM_UP, requestsPerSecond: RATE });
  const draw = uniformFloat64(seed);
  const entries = Array.from({ length: vms }, (_, vm) => ({
    admission: ColdAdmission.create(catalog, () => vms, draw),
    fleet: fleetWith(WARM_UP, learnsAt(vm)),
    from: learnsAt(vm),
  }));
  const times: number[] = [];
  for (let now = 0; now < WARM_UP; now += 1_000 / rate) {
    const { admission, fleet, from } = entries[Math.floor(draw() * vms)];
    const server = fleet.get("s")!;
    if (now < from || !admission.mayTake(server, now)) continue;
    admission.started(server, now);
    times.push(now);
  }
  return times;
}

/** The most of `times` that lie within one second. */
function mostInSecond(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map((from) =>
      times.filter((at) => at >= from && at < from + 1_000).length
    ),
  );
}

const PATTERNS: [string, Omit<Burst, "seed">][] = [
  ["61 VMs learn of it in one moment", {
    vms: 61,
    learnsAt: () => 0,
    rate: 2_000,
  }],
  ["61 VMs learn of it one after the other", {
    vms: 61,
    learnsAt: (vm) => 25 * vm,
    rate: 2_000,
  }],
  ["11 VMs, all callers at once", { vms: 11, learnsAt: () => 0, rate: 5_000 }],
  ["300 VMs", { vms: 300, learnsAt: (vm) => vm, rate: 5_000 }],
];

for (const [name, burst] of PATTERNS) {
  test(`cold servers: all VMs together stay within what one bears: ${name}`, (t) => {
    let most = 0;
    let fewest = Infinity;
    for (let seed = 1; seed <= 200; seed++) {
      const times = sends({ ...burst, seed });
      most = Math.max(most, mostInSecond(times));
      fewest = Math.min(fewest, times.length);
    }
    t.log(`most in a second ${most}, fewest in all ${fewest}`);
    t.true(most <= BOUND, `${most} of ${BOUND}`);
  });
}

test("cold servers: a warm one, and one of a service without figures, get all", (t) => {
  const limited = catalogWith({ duration: WARM_UP, requestsPerSecond: RATE });
  const admit = (catalog: Catalog, warmUp: number, now: number) =>
    ColdAdmission.create(catalog, () => 61, () => 0.5)
      .mayTake(fleetWith(warmUp, 0).get("s")!, now);
  t.deepEqual({
    cold: admit(limited, WARM_UP, 10),
    later: admit(limited, WARM_UP, WARM_UP),
    warm: admit(limited, 0, 10),
    unlimited: admit(catalogWith(), WARM_UP, 10),
  }, { cold: false, later: true, warm: true, unlimited: true });
});

test("cold servers: a zone that is taken back counts as cold until it could have said so", (t) => {
  const catalog = catalogWith({ duration: WARM_UP, requestsPerSecond: RATE });
  const admission = ColdAdmission.create(catalog, () => 61, () => 0.5);
  const fleet = fleetWith(0, 0);
  const server = fleet.get("s")!;
  const zone = server.entry.availabilityZone;
  fleet.evacuate({ evacuated: [zone], restored: [] }, 100);
  t.true(server.isLeaving);
  fleet.evacuate({ evacuated: [], restored: [zone] }, 5_000);
  t.false(server.isLeaving);
  t.false(admission.mayTake(server, 5_001));
  t.true(admission.mayTake(server, 5_000 + WARM_UP));
});

test("cold servers: one at whose address nothing listened counts as cold when it is back", (t) => {
  const catalog = catalogWith({ duration: WARM_UP, requestsPerSecond: RATE });
  const admission = ColdAdmission.create(catalog, () => 61, () => 0.5);
  const server = fleetWith(0, 0).get("s")!;
  server.started(1, 0);
  server.gone();
  server.failed(1, 1);
  t.false(admission.mayTake(server, 20_000));
  // However long ago: its first requests come one after the other.
  t.false(admission.mayTake(server, 50_000));
  server.started(2, 58_000);
  admission.started(server, 58_000);
  server.answered(2, 58_100, null);
  t.false(admission.mayTake(server, 58_200));
  t.true(admission.mayTake(server, 58_100 + WARM_UP));
});

test("cold servers: one whose turn it is at this VM is taken before warm ones like it", (t) => {
  const catalog = catalogWith({ duration: WARM_UP, requestsPerSecond: RATE });
  const cold = ColdAdmission.create(catalog, () => 1, () => 0.5);
  const fleet = fleetWith(WARM_UP, 0);
  const warm = ["a", "b", "c"].map((id) =>
    backendServer(id, { service: SERVICE, address: `${id}:1` })
  );
  fleet.apply(warm, [], 0);
  const choose = (now: number) =>
    chooseServer(SERVICE, [], now, {
      fleet,
      availabilityZone: fleet.get("s")!.entry.availabilityZone,
      vms: 1,
      cold,
      tokens: RateTokens.create({ ask: () => null }, () => 1, () => 0.5),
      isUrgent: true,
      draw: () => 0.5,
    })!;
  t.not(choose(0).id, "s");
  const turn = 0.5 * 1_000 / RATE;
  const chosen = choose(turn);
  t.is(chosen.id, "s");
  cold.started(chosen, turn);
  t.not(choose(turn + 1).id, "s");
});
