/**
 * VMs that are cut from all servers, while callers, the store and the other VMs
 * reach them.
 */
import test from "ava";
import type { LoadOptions, RequestLoad } from "./request_load.ts";
import {
  type Fault,
  Simulation,
  type SimulationOptions,
  type SimulationReport,
} from "./simulation.ts";

const CUT_FROM = 10_000;
const CUT_UNTIL = 18_000;
const UNTIL = 22_000;
/**
 * Time after the start of a cut from which callers of cut VMs must be served
 * like others, in milliseconds.
 */
const STABILITY_TIME = 3_000;
/** Time after a cut within which all are served as before, in milliseconds. */
const RECOVERY_TIME = 1_000;
/**
 * Minimum share of the first attempts that cut VMs serve, relative to the share
 * of the others.
 */
const MINIMUM_RELATIVE_SHARE = 0.9;
/** Minimum share that they serve before that. */
const MINIMUM_INITIAL_SHARE = 0.5;
/** Minimum share that the other VMs serve. */
const MINIMUM_SHARE = 0.98;
const ZONES = 3;

type CutKind =
  | "vm.cut_from_servers"
  | "vm.servers_one_way"
  | "vm.servers_reset"
  | "vm.servers_refuse";

/** Cuts `vms` from all servers. */
function cut(
  kind: CutKind,
  vms: readonly number[],
  from = CUT_FROM,
  until = CUT_UNTIL,
): Fault[] {
  return vms.map((target) => ({
    kind,
    at: from,
    duration: until - from,
    target,
  }));
}

/** The VMs of one zone. */
function zoneVms(vms: number, zone: number): number[] {
  return Array.from({ length: vms }, (_, i) => i)
    .filter((vm) => vm % ZONES === zone);
}

/** Runs a load of 18 requests a second and VM. */
function simulate(
  vms: number,
  faults: readonly Fault[],
  load: Partial<LoadOptions> = {},
  overrides: Partial<SimulationOptions> = {},
): SimulationReport {
  return Simulation.runToEnd({
    vms,
    servers: Math.max(6, vms),
    zones: ZONES,
    faults,
    duration: UNTIL + 3_000,
    seed: 1,
    seedVms: 2,
    // VM 0 holds the term.
    fitness: Array.from({ length: vms }, (_, i) => i === 0 ? 5 : 1),
    load: {
      from: 5_000,
      until: UNTIL,
      rate: 18 * vms,
      work: 100,
      speeds: [1],
      slots: 6,
      queue: 24,
      target: 600,
      timeout: 1_500,
      keyOf: (draw) => Math.floor(draw() * 65_536),
      ...load,
    },
    ...overrides,
  });
}

/** Share of the first attempts in a period that VMs have served. */
function share(
  { firstAttempts }: RequestLoad,
  isIncluded: (vm: number) => boolean,
  from: number,
  until: number,
): number {
  const attempts = firstAttempts.filter(({ vm, startedAt }) =>
    isIncluded(vm) && startedAt >= from && startedAt < until
  );
  return attempts.filter(({ isServed }) => isServed).length / attempts.length;
}

/** Shares of first attempts that were served. */
interface Shares {
  /** By cut VMs, in the first seconds of the cut. */
  initial: number;
  /** By cut VMs after that. */
  cut: number;
  /** By the other VMs during the cut. */
  others: number;
  /** By all VMs after the cut. */
  after: number;
}

function sharesOf(load: RequestLoad, cutVms: readonly number[]): Shares {
  const isCut = (vm: number) => cutVms.includes(vm);
  const settled = CUT_FROM + STABILITY_TIME;
  return {
    initial: share(load, isCut, CUT_FROM, settled),
    cut: share(load, isCut, settled, CUT_UNTIL),
    others: share(load, (vm) => !isCut(vm), CUT_FROM, CUT_UNTIL),
    after: share(load, () => true, CUT_UNTIL + RECOVERY_TIME, UNTIL),
  };
}

/** What is wrong with a report; empty if the cut VMs are served as they must. */
function shortfalls(
  { load, violations }: SimulationReport,
  cutVms: readonly number[],
): string[] {
  const { initial, cut, others, after } = sharesOf(load!, cutVms);
  const found = [...violations];
  const check = (name: string, value: number, minimum: number) => {
    if (value < minimum) found.push(`${name}: ${value.toFixed(3)}`);
  };
  check("first 3 s", initial, MINIMUM_INITIAL_SHARE);
  check("cut VMs", cut / others, MINIMUM_RELATIVE_SHARE);
  check("other VMs", others, MINIMUM_SHARE);
  check("afterwards", after, MINIMUM_SHARE);
  if (load!.falseRefusals > 0) found.push(`${load!.falseRefusals} refused ran`);
  if (load!.doubleRuns > 0) found.push(`${load!.doubleRuns} ran twice`);
  return found;
}

const KINDS: CutKind[] = [
  "vm.cut_from_servers",
  "vm.servers_one_way",
  "vm.servers_reset",
  "vm.servers_refuse",
];

/** Requests that differ in where and how often they may run. */
const LOADS: [string, Partial<LoadOptions>][] = [
  ["with keys", { isKeyed: true }],
  ["without keys", { isKeyed: false }],
  ["not idempotent, with keys", { isKeyed: true, isIdempotent: false }],
  ["not idempotent, without keys", { isKeyed: false, isIdempotent: false }],
];

for (const [name, load] of LOADS) {
  for (const kind of KINDS) {
    // Guards against callers of VMs that are cut from all servers being served
    // far worse than others, the term holder among them.
    test(`unreached servers: a zone with the term holder is cut, ${kind}, ${name}`, (t) => {
      const vms = zoneVms(11, 0);
      t.deepEqual(shortfalls(simulate(11, cut(kind, vms), load), vms), []);
    });
  }

  // Guards against the same with most VMs, and with the holder not among them.
  test(`unreached servers: most VMs of each zone are cut, ${name}`, (t) => {
    const vms = [1, 2, 4, 5, 6, 7, 9];
    const report = simulate(11, cut("vm.cut_from_servers", vms), load);
    t.deepEqual(shortfalls(report, vms), []);
  });
}

for (const vms of [4, 61, 195]) {
  // Guards against the same at other sizes.
  test(`unreached servers: a zone is cut, ${vms} VMs`, (t) => {
    const cutVms = zoneVms(vms, 0);
    const report = simulate(vms, cut("vm.cut_from_servers", cutVms));
    t.deepEqual(shortfalls(report, cutVms), []);
  });
}

// Guards against links that work and fail in turn: requests must neither be
// lost on them again and again, nor run twice.
test("unreached servers: the links of a zone flap", (t) => {
  const vms = zoneVms(11, 0);
  const faults: Fault[] = [];
  for (let at = CUT_FROM; at < CUT_UNTIL; at += 2_000) {
    faults.push(...cut("vm.cut_from_servers", vms, at, at + 1_600));
  }
  const load = { isKeyed: false, isIdempotent: false };
  t.deepEqual(shortfalls(simulate(11, faults, load), vms), []);
});

// Guards against the same when the VMs between are stopped during the cut, and
// must not cut off what they carry.
test("unreached servers: other VMs are stopped one after the other during the cut", (t) => {
  const vms = zoneVms(11, 0);
  const stops: Fault[] = [1, 2, 4].map((target, i) => ({
    kind: "vm.shutdown",
    at: CUT_FROM + 2_000 + 1_500 * i,
    duration: 0,
    target,
  }));
  const faults = [...cut("vm.cut_from_servers", vms), ...stops];
  t.deepEqual(shortfalls(simulate(11, faults), vms), []);
});

// Guards against two owners of a key, and against requests that run twice, when
// the term passes on during the cut.
test("unreached servers: the term holder is killed during the cut", (t) => {
  const vms = zoneVms(11, 1);
  const kill: Fault = {
    kind: "vm.kill",
    at: CUT_FROM + 1_000,
    duration: 4_000,
    target: 0,
  };
  const faults = [...cut("vm.cut_from_servers", vms), kill];
  const { load, violations } = simulate(11, faults, { isIdempotent: false });
  t.deepEqual(violations, []);
  t.is(load!.falseRefusals, 0);
  t.is(load!.doubleRuns, 0);
  const { cut: served, others, after } = sharesOf(load!, vms);
  t.true(served > MINIMUM_RELATIVE_SHARE * others, `${served} of ${others}`);
  t.true(after > MINIMUM_SHARE, `${after}`);
});

// Guards against a VM between that stops running: it may neither make a request
// run twice nor have a late order carried out.
test("unreached servers: other VMs are suspended during the cut", (t) => {
  const vms = zoneVms(11, 0);
  const suspensions: Fault[] = [1, 2, 4, 5].map((target, i) => ({
    kind: "vm.freeze",
    at: CUT_FROM + 1_000 + 1_200 * i,
    duration: 1_500,
    target,
  }));
  const faults = [...cut("vm.cut_from_servers", vms), ...suspensions];
  const { load, violations } = simulate(11, faults, { isIdempotent: false });
  t.deepEqual(violations, []);
  t.is(load!.falseRefusals, 0);
  t.is(load!.doubleRuns, 0);
});

// Guards against requests that are held although no server can be reached on
// any way: they are refused at once.
test("unreached servers: requests are refused at once if all VMs are cut", (t) => {
  const vms = Array.from({ length: 4 }, (_, i) => i);
  const { load, violations } = simulate(4, cut("vm.cut_from_servers", vms), {
    isKeyed: false,
  });
  t.deepEqual(violations, []);
  const attempts = load!.firstAttempts.filter(({ startedAt }) =>
    startedAt >= CUT_FROM + STABILITY_TIME && startedAt < CUT_UNTIL - 100
  );
  t.true(attempts.length > 100);
  const held = attempts.filter(({ took }) => took > 50).length;
  t.true(held < 0.05 * attempts.length, `${held} of ${attempts.length}`);
  t.true(share(load!, () => true, CUT_UNTIL + RECOVERY_TIME, UNTIL) > 0.98);
});

// Guards against a term holder that can order nothing, since no VM that it can
// use reaches the servers, and keeps the term: all keys lost their servers.
test("unreached servers: a term holder without any path hands over the term", (t) => {
  const faults = cut("vm.cut_from_servers", [0], CUT_FROM, UNTIL + 3_000);
  const { load, violations, holders } = simulate(11, faults, {}, {
    areRelaysBroken: true,
  });
  t.deepEqual(violations, []);
  t.not(holders.at(-1), "vm-0");
  const served = share(load!, (vm) => vm !== 0, CUT_UNTIL, UNTIL);
  t.true(served >= MINIMUM_SHARE, `${served}`);
});
