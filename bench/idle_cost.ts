/**
 * Measures the processor time and memory of idle entry processes.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import {
  type DeployedProcess,
  Deployment,
} from "../test/support/deployment.ts";
import { printMeasurement } from "./measurement.ts";

const ENTRIES = 4;
const SERVERS = 4;
/**
 * Time for the deployment to settle before the measurement, in milliseconds.
 */
const SETTLING_TIME = 4_000;
/** Duration of the measurement, in milliseconds. */
const MEASURED_TIME = 20_000;

/** Measures each entry process of an idle deployment. */
export async function measureIdleCost(): Promise<void> {
  const deployment = await Deployment.start({
    entries: ENTRIES,
    servers: SERVERS,
  });
  try {
    await delay(SETTLING_TIME);
    const holder = await deployment.holder();
    const before = await Promise.all(deployment.entries.map(readGauges));
    await delay(MEASURED_TIME);
    const after = await Promise.all(deployment.entries.map(readGauges));
    for (const [index, entry] of deployment.entries.entries()) {
      const role = entry === holder ? "term holder" : "follower";
      const conditions = { role, entries: ENTRIES, servers: 2 * SERVERS };
      const processorSeconds = after[index].processor - before[index].processor;
      printMeasurement({
        name: "idle processor",
        value: 100 * processorSeconds * 1_000 / MEASURED_TIME,
        unit: "% of a core",
        conditions,
      });
      printMeasurement({
        name: "idle memory",
        value: after[index].memory / 1e6,
        unit: "MB resident",
        conditions,
      });
    }
  } finally {
    deployment.stop();
  }
}

async function readGauges(entry: DeployedProcess) {
  const { body } = await request(`http://${entry.admin}/metrics`);
  const text = await body.text();
  const gauge = (name: string) =>
    Number(new RegExp(`^plumloft_${name} (.*)$`, "m").exec(text)![1]);
  return {
    processor: gauge("processor_seconds"),
    memory: gauge("memory_bytes"),
  };
}
