/**
 * What control costs a running entry process while no caller asks for anything.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { Deployment, type RunningEntry } from "../test/support/deployment.ts";
import { median, printFigure } from "./figure.ts";
import { processorSeconds, residentBytes } from "./processor_time.ts";

/** Seconds of one measurement. */
const SECONDS = 10;
/** Entry VMs of today. */
const ENTRIES = 11;
/** Keyed and other backend servers. */
const SERVERS = 8;

/** Measures processor time, memory and peers' bytes of idle entries. */
export async function measureIdleControl(): Promise<void> {
  const checks = { token: true, lease: true, echo: true };
  const deployment = await Deployment.start({
    entries: ENTRIES,
    services: [
      {
        name: "apothiki",
        keyHeader: "x-key",
        servers: SERVERS,
        keySlots: 256,
        checks,
      },
      { name: "archeio", keyHeader: null, servers: SERVERS, checks },
    ],
  });
  try {
    await delay(2_000);
    const before = await Promise.all(deployment.entries.map(observe));
    await delay(SECONDS * 1_000);
    const after = await Promise.all(deployment.entries.map(observe));
    const circumstances = { vms: ENTRIES, servers: 2 * SERVERS };
    const rates = after.map((each, index) => ({
      processor: (each.processor - before[index].processor) / SECONDS * 100,
      bytes: (each.bytes - before[index].bytes) / SECONDS / 1_000,
      memory: each.memory / 1e6,
    }));
    for (const [field, unit] of UNITS) {
      const values = rates.map((each) => each[field]);
      const name = `idle.${field}`;
      printFigure({ name, value: median(values), unit, circumstances });
      printFigure({
        name: `${name}.highest`,
        value: Math.max(...values),
        unit,
        circumstances,
      });
    }
  } finally {
    await deployment.stop();
  }
}

const UNITS = [
  ["processor", "% of a core"],
  ["bytes", "KB/s without packet headers"],
  ["memory", "MB"],
] as const;

async function observe({ child, admin }: RunningEntry) {
  const { body } = await request(`http://${admin}/metrics`);
  const text = await body.text();
  const bytes = [...text.matchAll(/^plumloft_peer_bytes\{.*\} (\d+)$/gm)]
    .reduce((sum, match) => sum + Number(match[1]), 0);
  return {
    processor: processorSeconds(child.pid!),
    memory: residentBytes(child.pid!),
    bytes,
  };
}
