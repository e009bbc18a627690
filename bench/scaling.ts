/**
 * Measures how the costs of the core grow with the numbers of servers, key
 * ranges and routes and with the body size, in one process and without sockets.
 *
 * @module
 */
import { Fingerprint } from "../src/core/quarantine/index.ts";
import { fingerprintOf } from "../test/support/fingerprint.ts";
import {
  decodeConfiguration,
  encodeConfiguration,
} from "../platform/configuration_codec.ts";
import { Catalog } from "../src/core/catalog/index.ts";
import { KEY_COUNT } from "../src/core/keyspace/index.ts";
import {
  type PeerMessage,
  peerMessageSchema,
} from "../src/core/peers/index.ts";
import { encodeFrame, FrameDecoder } from "../src/runtime/frame.ts";
import { backendServer } from "../test/support/backend_server.ts";
import { serverStatement } from "../test/support/server_statement.ts";
import { largeConfiguration } from "../test/support/large_configuration.ts";
import { createSteppedEntry } from "../test/support/stepped_entry.ts";
import { printMeasurement } from "./measurement.ts";

const SERVER_COUNTS = [10, 100, 800];
const REQUESTS = 20_000;
/** Sizes of the request bodies whose fingerprints are measured, in bytes. */
const BODY_SIZES = [0, 4_000, 1_000_000];
/** Number of runs of a step before the measurement. */
const WARM_UP_RUNS = 5;
/** Number of runs of a step that are measured. */
const MEASURED_RUNS = 20;

/**
 * Measures requests, fingerprints, assignments and configurations of several
 * sizes.
 */
export function measureScaling(): void {
  for (const servers of SERVER_COUNTS) {
    measureRequests(servers, false);
    measureRequests(servers, true);
  }
  for (const crashRecords of [1, 1_000]) {
    measureRequests(SERVER_COUNTS[0], false, crashRecords);
  }
  for (const size of BODY_SIZES) measureFingerprint(size);
  for (const ranges of [10, 100, 1_000, 5_000]) measureAssignments(ranges);
  for (const routes of [100, 2_100, 5_000]) measureConfiguration(routes);
}

/**
 * Measures the cost of a configuration for the process that reads its document
 * from the store, for the term holder, which encodes one message for all
 * followers, and for each follower, which decodes and applies it.
 */
function measureConfiguration(routes: number): void {
  const configuration = largeConfiguration(7, routes);
  const document = encodeConfiguration(configuration);
  const message: PeerMessage = {
    kind: "configuration.told",
    term: 1,
    version: 1,
    configuration: 7,
    told: configuration,
  };
  const frame = encodeFrame(message, true);
  const bytes = {
    "in the store": document.length,
    "to a follower, plain": encodeFrame(message).length,
    "to a follower, deflated": frame.length,
  };
  for (const [form, value] of Object.entries(bytes)) {
    const conditions = { form, routes };
    printMeasurement({
      name: "configuration",
      value,
      unit: "bytes",
      conditions,
    });
  }
  const steps = {
    "read of the document": () => decodeConfiguration(document),
    "frame made, once for all": () => encodeFrame(message, true),
    "frame read": () =>
      FrameDecoder.create().push(frame).map((decoded) =>
        peerMessageSchema.parse(decoded)
      ),
    "put in force": () => Catalog.create().apply(configuration),
  };
  for (const [step, run] of Object.entries(steps)) {
    const conditions = { step, routes };
    const value = meanMilliseconds(run);
    printMeasurement({ name: "configuration", value, unit: "ms", conditions });
  }
}

/** Returns the mean time of a run after warm-up runs, in milliseconds. */
function meanMilliseconds(run: () => unknown): number {
  for (let i = 0; i < WARM_UP_RUNS; i++) run();
  const startedAt = performance.now();
  for (let i = 0; i < MEASURED_RUNS; i++) run();
  return (performance.now() - startedAt) / MEASURED_RUNS;
}

/**
 * Measures the time to dispatch a request while crash records of `crashRecords`
 * other requests are kept, which were in progress when a server crashed.
 */
function measureRequests(
  servers: number,
  isKeyed: boolean,
  crashRecords = 0,
): void {
  const { entry, step } = createEntry(servers, isKeyed);
  for (let i = 0; i < crashRecords; i++) {
    const { complete } = fingerprintOf(`/crashing/${i}`);
    entry.clusterState.quarantine.recordCrash(
      complete,
      "h/crashing",
      "server#1",
      1_000,
    );
  }
  let now = 1_000;
  const run = (count: number) => {
    const startedAt = performance.now();
    for (let exchange = 1; exchange <= count; exchange++) {
      now += 1;
      const effects = step(now, {
        kind: "request.arrived",
        arrival: {
          exchange,
          id: "r",
          host: "h",
          target: "/x/1",
          timeout: 1_000,
          key: exchange * 7_919 % KEY_COUNT,
          fingerprint: fingerprintOf(`/x/${exchange}`),
        },
      });
      for (const effect of effects) {
        if (effect.kind !== "attempt.start") continue;
        step(now, {
          kind: "attempt.ended",
          attempt: effect.attempt,
          outcome: {
            kind: "answered",
            status: 200,
            isGenuine: true,
            isNotRun: false,
            server: null,
            statement: serverStatement(),
          },
        });
      }
    }
    return 1_000 * (performance.now() - startedAt) / count;
  };
  run(REQUESTS / 4);
  printMeasurement({
    name: "core time for a request",
    value: run(REQUESTS),
    unit: "us",
    conditions: {
      servers,
      keyed: String(isKeyed),
      accused: crashRecords,
      pending: entry.dispatcher.pending,
    },
  });
}

/**
 * Measures the time to compute a request's fingerprint, without its body (the
 * head) and with it (the complete fingerprint).
 */
function measureFingerprint(size: number): void {
  const body = Buffer.alloc(size, "x");
  const parts = { method: "POST", host: "h.example" };
  let count = 0;
  const create = () => {
    count += 1;
    return Fingerprint.create({ ...parts, target: `/x/${count}`, body });
  };
  const steps = {
    head: () => void create().head,
    whole: () => void create().complete,
  };
  for (const [part, run] of Object.entries(steps)) {
    for (let i = 0; i < REQUESTS / 20; i++) run();
    const startedAt = performance.now();
    for (let i = 0; i < REQUESTS / 20; i++) run();
    const value = 20_000 * (performance.now() - startedAt) / REQUESTS;
    const conditions = { part, body: size };
    printMeasurement({ name: "fingerprint", value, unit: "us", conditions });
  }
}

/**
 * Measures the size of the message that sends changed assignments to another
 * VM.
 */
function measureAssignments(ranges: number): void {
  const message = {
    kind: "assignments.told",
    term: 1,
    version: 1,
    configuration: 1,
    vms: 8,
    assignments: [{
      service: "stock",
      servers: Array.from({ length: ranges / 5 }, (_, i) => ({
        id: `server-${i}`,
        address: `10.0.0.${i}:8080`,
      })),
      ranges: Array.from(
        { length: ranges },
        (_, i) => [i * 13, i * 13 + 12, Math.floor(i / 5), true],
      ),
    }],
  };
  printMeasurement({
    name: "size of a change of assignments",
    value: encodeFrame(message).length,
    unit: "bytes to each VM",
    conditions: { ranges },
  });
}

function createEntry(servers: number, isKeyed: boolean) {
  const { entry, step } = createSteppedEntry({
    shutdown: { closeAfter: 1, stopAfter: 2 },
  });
  step(0, {
    kind: "configuration.read",
    configuration: {
      version: 1,
      limits: {
        maximumHeaderBytes: 1,
        maximumBodyBytes: 1,
        headerTimeout: 1,
        idleTimeout: 1,
      },
      services: [{ name: "s", maximumConnections: 10, isKeyed }],
      routes: [{
        name: "r",
        host: "h",
        pathPrefix: "/x/",
        isIdempotent: true,
        destinations: [{ service: "s", weight: 1 }],
        timeout: 1_000,
        targetLatency: 500,
        maximumAttempts: 2,
        priority: 0,
      }],
    },
  });
  const entries = Array.from(
    { length: servers },
    (_, i) =>
      backendServer(`server-${i}`, {
        address: `10.0.0.1:${i}`,
        availabilityZone: i % 2 === 0 ? "a" : "b",
      }),
  );
  const read = {
    entries,
    removed: [],
    unreadable: [],
    isWhole: true,
    position: servers,
  };
  step(0, { kind: "servers.read", read, sentAt: 0 });
  const size = KEY_COUNT / servers;
  step(0, {
    kind: "assignments.read",
    assignments: [{
      service: "s",
      term: 1,
      version: 1,
      ranges: entries.map(({ id, address }, i) => ({
        first: Math.round(i * size),
        last: Math.round((i + 1) * size) - 1,
        server: id,
        address,
        isOpen: true,
      })),
    }],
  });
  return { entry, step };
}
