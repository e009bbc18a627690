/**
 * How the core's costs grow with servers and with ranges of keys, without
 * sockets.
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
import { largeConfiguration } from "../test/support/large_configuration.ts";
import { createSteppedEntry } from "../test/support/stepped_entry.ts";
import { printFigure } from "./figure.ts";

const SERVICE_SIZES = [10, 100, 800];
const REQUESTS = 20_000;
/** Bodies whose fingerprints are measured, in bytes. */
const BODY_SIZES = [0, 4_000, 1_000_000];
/** Runs of a step before it is measured, and while it is. */
const WARM_UP = 5;
const REPEATS = 20;

/** Measures the cost of a request for services of several sizes. */
export function measureSlopes(): void {
  for (const servers of SERVICE_SIZES) {
    measureRequests(servers, false);
    measureRequests(servers, true);
  }
  for (const accused of [1, 1_000]) {
    measureRequests(SERVICE_SIZES[0], false, accused);
  }
  for (const size of BODY_SIZES) measureFingerprint(size);
  for (const ranges of [10, 100, 1_000, 5_000]) measureBulletin(ranges);
  for (const routes of [100, 2_100, 5_000]) measureConfiguration(routes);
}

/** What a configuration costs its reader from the store, and the term holder and
 * each follower that is told it. */
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
    printFigure({ name: "configuration", value, unit: "bytes", conditions });
  }
  const steps = {
    "read of the document": () => decodeConfiguration(document),
    "frame made, once for all": () => encodeFrame(message, true),
    "frame read": () =>
      FrameDecoder.create().push(frame).map((each) =>
        peerMessageSchema.parse(each)
      ),
    "put in force": () => Catalog.create().apply(configuration),
  };
  for (const [step, run] of Object.entries(steps)) {
    const conditions = { step, routes };
    const value = millisecondsOf(run);
    printFigure({ name: "configuration", value, unit: "ms", conditions });
  }
}

/** Mean time of a step in a process that is warmed up. */
function millisecondsOf(run: () => unknown): number {
  for (let i = 0; i < WARM_UP; i++) run();
  const begun = performance.now();
  for (let i = 0; i < REPEATS; i++) run();
  return (performance.now() - begun) / REPEATS;
}

/** `accused` requests are remembered, since servers have ended under them. */
function measureRequests(
  servers: number,
  isKeyed: boolean,
  accused = 0,
): void {
  const { entry, step } = createEntry(servers, isKeyed);
  for (let i = 0; i < accused; i++) {
    const { whole } = fingerprintOf(`/accused/${i}`);
    entry.beliefs.quarantine.accuse(whole, "h/accused", "server#1", 1_000);
  }
  let now = 1_000;
  const run = (count: number) => {
    const begun = performance.now();
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
            load: null,
          },
        });
      }
    }
    return 1_000 * (performance.now() - begun) / count;
  };
  run(REQUESTS / 4);
  printFigure({
    name: "core time for a request",
    value: run(REQUESTS),
    unit: "us",
    conditions: {
      servers,
      keyed: String(isKeyed),
      accused,
      pending: entry.dispatcher.pending,
    },
  });
}

/** What it costs to tell a request from others, with its body and without. */
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
    whole: () => void create().whole,
  };
  for (const [part, run] of Object.entries(steps)) {
    for (let i = 0; i < REQUESTS / 20; i++) run();
    const begun = performance.now();
    for (let i = 0; i < REQUESTS / 20; i++) run();
    const value = 20_000 * (performance.now() - begun) / REQUESTS;
    const conditions = { part, body: size };
    printFigure({ name: "fingerprint", value, unit: "us", conditions });
  }
}

function measureBulletin(ranges: number): void {
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
  printFigure({
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
