/**
 * Paths to servers as decided by the core of one VM.
 */
import test from "ava";
import { backendServer } from "../../test/support/backend_server.ts";
import { fingerprintOf } from "../../test/support/fingerprint.ts";
import { createSteppedEntry } from "../../test/support/stepped_entry.ts";
import type { AttemptOutcome } from "./dispatch/index.ts";
import type { EntryEffect } from "./entry_effect.ts";
import type { ProbeResult, ServerProbe } from "./quarantine/index.ts";

const HOLDER = "holder:1";
const STATE = { term: 1, version: 1, configuration: 1 };

const TIMED_OUT: AttemptOutcome = {
  kind: "failed",
  mayHaveBeenSent: false,
  cause: "connection timed out",
};
const REFUSED: AttemptOutcome = { ...TIMED_OUT, isConnectionRefused: true };

/**
 * Creates a VM with six servers of a service without keys. The term holder names
 * `relays`; an older one names none.
 */
function createVm(relays?: string[]) {
  const { entry, step } = createSteppedEntry();
  step(0, {
    kind: "configuration.read",
    configuration: {
      version: 1,
      routes: [{
        name: "r",
        host: "h",
        pathPrefix: "/",
        isIdempotent: true,
        destinations: [{ service: "s", weight: 1 }],
        timeout: 1_500,
        targetLatency: 600,
        maximumAttempts: 2,
        priority: 0,
      }],
      services: [{ name: "s", maximumConnections: 10, isKeyed: false }],
      limits: {
        maximumHeaderBytes: 1,
        maximumBodyBytes: 1,
        headerTimeout: 1,
        idleTimeout: 1,
      },
    },
  });
  const entries = Array.from(
    { length: 6 },
    (_, i) => backendServer(`i-${i}`, { service: "s", address: `i-${i}:1` }),
  );
  step(0, {
    kind: "servers.read",
    read: { entries, removed: [], unreadable: [], isWhole: true, position: 6 },
    sentAt: 0,
  });
  step(0, {
    kind: "holder.announced",
    holder: { term: 1, vm: "v", address: HOLDER, fitness: 1 },
  });
  step(0, {
    kind: "peer.received",
    address: HOLDER,
    message: {
      kind: "holder.alive",
      ...STATE,
      vms: 4,
      fittest: 1,
      registry: null,
      ...(relays === undefined ? {} : { relays }),
    },
  });
  let exchange = 0;
  const arrive = (now: number) => {
    exchange += 1;
    return step(now, {
      kind: "request.arrived",
      arrival: {
        exchange,
        id: `r-${exchange}`,
        host: "h",
        target: "/",
        timeout: 1_500,
        key: null,
        fingerprint: fingerprintOf(`/${exchange}`),
      },
    });
  };
  const end = (now: number, attempt: number, outcome: AttemptOutcome) =>
    step(now, { kind: "attempt.ended", attempt, outcome });
  const checked = (
    now: number,
    { server, relay, purpose }: ServerProbe,
    result: ProbeResult,
  ) => step(now, { kind: "server.checked", server, relay, purpose, result });
  /** Cuts the VM from all servers; returns the effects of the detection. */
  const isolate = (now: number): EntryEffect[] => {
    const probes = [0, 1].flatMap(() => {
      const [start] = starts(arrive(now));
      return checks(end(now, start.attempt, TIMED_OUT));
    });
    return probes.flatMap((probe) => checked(now + 200, probe, "silent"));
  };
  return { entry, step, arrive, end, checked, isolate };
}

const ofKind = <Kind extends EntryEffect["kind"]>(
  effects: EntryEffect[],
  kind: Kind,
) =>
  effects.filter((each): each is EntryEffect & { kind: Kind } =>
    each.kind === kind
  );
const starts = (effects: EntryEffect[]) => ofKind(effects, "attempt.start");
const checks = (effects: EntryEffect[]) => ofKind(effects, "server.check");
const decisions = (effects: EntryEffect[]) =>
  ofKind(effects, "note").map(({ decision }) => decision);

test("paths: an isolated VM sends through another one at once, and directly once a probe succeeds", (t) => {
  const vm = createVm(["vm-2:1", "vm-3:1"]);
  t.is(starts(vm.arrive(10))[0].relay, null);
  const isolated = vm.isolate(100);
  t.true(decisions(isolated).includes("servers.unreached"));
  t.is(ofKind(isolated, "connections.abandon").length, 1);
  const [start] = starts(vm.arrive(310));
  t.true(["vm-2:1", "vm-3:1"].includes(start.relay!));
  const [probe] = checks(vm.step(600, { kind: "timer" }));
  t.true(
    decisions(vm.checked(602, probe, "connected"))
      .includes("servers.reached"),
  );
  t.is(starts(vm.arrive(610))[0].relay, null);
});

// Guards against the crash of servers that is concluded from this VM's own
// links, by which requests would be quarantined at all VMs.
test("paths: a refused connection is no crash unless another VM is refused too", (t) => {
  const vm = createVm(["vm-2:1"]);
  const { quarantine } = vm.entry.clusterState;
  const [broken] = starts(vm.arrive(10));
  const effects = vm.end(20, broken.attempt, {
    kind: "failed",
    mayHaveBeenSent: true,
    cause: "reset",
  });
  const [direct] = checks(effects);
  t.is(direct.relay, null);
  const [confirmation] = checks(vm.checked(22, direct, "refused"));
  t.is(confirmation.relay, "vm-2:1");
  const name = fingerprintOf("/1").complete;
  vm.checked(26, confirmation, "unknown");
  t.is(quarantine.crashCountOf(name), 0);
  vm.checked(26, confirmation, "connected");
  t.is(quarantine.crashCountOf(name), 0);
  vm.checked(26, confirmation, "refused");
  t.is(quarantine.crashCountOf(name), 1);
});

test("paths: a server that refuses only this VM is reached through another one", (t) => {
  const vm = createVm(["vm-2:1"]);
  const [start] = starts(vm.arrive(10));
  const [confirmation] = checks(vm.end(12, start.attempt, REFUSED));
  t.is(confirmation.relay, "vm-2:1");
  vm.checked(16, confirmation, "connected");
  t.is(vm.entry.reach.isDetoured(start.server, 20), true);
});

// Guards against a VM that depends on messages which an older holder does not
// send.
test("paths: with an older term holder an isolated VM refuses at once, and a refused connection is a crash", (t) => {
  const vm = createVm();
  const [start] = starts(vm.arrive(5));
  t.deepEqual(checks(vm.end(7, start.attempt, REFUSED)), []);
  vm.isolate(100);
  const effects = vm.arrive(310);
  t.deepEqual(starts(effects), []);
  const [refusal] = ofKind(effects, "request.refuse");
  t.like(refusal, {
    status: 503,
    reason: "no backend server can be reached from this VM",
  });
  t.true(refusal.retryAfter! > 0);
});

// Guards against a VM that keeps its callers, and the term, although it can do
// nothing for them and others can.
test("paths: a VM without any path hands over after a second, until it has one", (t) => {
  const vm = createVm(["vm-2:1"]);
  vm.isolate(100);
  t.true(vm.entry.isReady);
  const [start] = starts(vm.arrive(310));
  const effects = vm.end(315, start.attempt, {
    ...TIMED_OUT,
    isRelayed: true,
    isRelayFault: true,
    cause: "isolated",
  });
  t.like(ofKind(effects, "request.refuse")[0], { status: 503, retryAfter: 20 });
  // The other VM is tried again after its pause.
  let now = 320;
  const fail = () => {
    for (const { attempt } of starts(vm.arrive(now))) {
      vm.end(now, attempt, {
        ...TIMED_OUT,
        isRelayed: true,
        isRelayFault: true,
      });
    }
  };
  for (; now < 2_500; now += 50) fail();
  t.false(vm.entry.isReady);
  const [probe] = checks(vm.step(now + 300, { kind: "timer" }));
  vm.checked(now + 302, probe, "connected");
  t.true(vm.entry.isReady);
});

test("paths: a VM that is about to stop is not used any more", (t) => {
  const vm = createVm(["vm-2:1"]);
  vm.isolate(100);
  const effects = vm.step(310, {
    kind: "peer.received",
    address: "vm-2:1",
    message: { kind: "relay.closing", ...STATE },
  });
  t.like(ofKind(effects, "relay.retire")[0], { relay: "vm-2:1" });
  t.deepEqual(starts(vm.arrive(320)), []);
});

test("paths: a VM that stops announces it to those that send through it, and takes no more", (t) => {
  const vm = createVm(["vm-2:1"]);
  const ask = (connection: number, now: number) =>
    vm.step(now, {
      kind: "relay.requested",
      request: {
        connection,
        vm: "vm-7:1",
        server: "i-0",
        address: "i-0:1",
        lateness: 0,
      },
    });
  t.is(ofKind(ask(1, 10), "relay.open").length, 1);
  const stopping = vm.step(20, { kind: "shutdown", lateness: 0 });
  const messages = ofKind(stopping, "peer.send")
    .filter(({ message }) => message.kind === "relay.closing");
  t.deepEqual(messages.map(({ address }) => address), ["vm-7:1"]);
  t.like(ofKind(ask(2, 30), "relay.refuse")[0], { reason: "stopping" });
});
