/**
 * Measures in the simulation how long it takes until all VMs quarantine a
 * request that crashes backend servers, and how much traffic between VMs that
 * causes.
 *
 * @module
 */
import { encodeFrame } from "../src/runtime/frame.ts";
import { Simulation } from "../test/ownership/simulation.ts";
import { printMeasurement } from "./measurement.ts";

const VM_COUNTS = [11, 74, 195, 820];
/**
 * Number of VMs with the highest fitness, which are preferred as term holder.
 */
const FITTEST_VMS = 8;
const SERVERS = 24;
/** Time at which the crashing request is first sent, in milliseconds. */
const FIRST_REQUEST = 9_000;
/** Time between two sends of the crashing request, in milliseconds. */
const REQUEST_INTERVAL = 1_500;
/** Simulated time, in milliseconds. */
const DURATION = 18_000;

/** Measures deployments of several sizes. */
export function measureQuarantine(): void {
  for (const vms of VM_COUNTS) measure(vms);
}

function measure(vms: number): void {
  const report = Simulation.runToEnd({
    vms,
    servers: SERVERS,
    faults: [],
    duration: DURATION,
    seed: 1,
    fitness: Array.from({ length: vms }, (_, i) => i < FITTEST_VMS ? 5 : 1),
    load: {
      isKeyed: false,
      from: 8_000,
      until: DURATION,
      rate: 100,
      work: 100,
      speeds: [1],
      slots: 6,
      queue: 24,
      target: 800,
      timeout: 3_000,
      keyOf: (draw) => Math.floor(draw() * 65_536),
      crashingRequest: {
        from: FIRST_REQUEST,
        until: DURATION,
        interval: REQUEST_INTERVAL,
        key: 1,
        work: 60,
      },
    },
  });
  const {
    serverCrashTimes,
    quarantinedAt,
    quarantineMessages,
    load,
  } = report;
  const conditions = { vms };
  const lastQuarantined = Math.max(...quarantinedAt.values());
  const print = (name: string, value: number, unit: string) =>
    printMeasurement({ name: `held back: ${name}`, value, unit, conditions });
  print("VMs that hold it", quarantinedAt.size, "VMs");
  print(
    "last VM after the third end",
    lastQuarantined - serverCrashTimes[2],
    "ms",
  );
  print("runs in all", load!.crashingRuns.length, "runs");
  print("messages that tell of it", quarantineMessages.length, "messages");
  const bytes = quarantineMessages.map(({ kind, quarantine }) => {
    const part = { kind, quarantine };
    return encodeFrame(part).length;
  });
  const totalBytes = bytes.reduce((total, size) => total + size, 0);
  print("what they tell", totalBytes, "bytes");
}
