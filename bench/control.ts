/**
 * What idle entry processes cost: processor time, memory and calls to the store.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { Deployment, type Member } from "../test/support/deployment.ts";
import { printFigure } from "./figure.ts";

const ENTRIES = 4;
const SERVERS = 4;
/** Time in which the start settles, in milliseconds. */
const SETTLE = 4_000;
/** Time that is measured, in milliseconds. */
const SPAN = 20_000;

/** Measures idle processes. */
export async function measureControl(): Promise<void> {
  const deployment = await Deployment.start({
    entries: ENTRIES,
    servers: SERVERS,
  });
  try {
    await delay(SETTLE);
    const holder = await deployment.holder();
    const before = await Promise.all(deployment.entries.map(readGauges));
    await delay(SPAN);
    const after = await Promise.all(deployment.entries.map(readGauges));
    for (const [index, entry] of deployment.entries.entries()) {
      const role = entry === holder ? "term holder" : "follower";
      const conditions = { role, entries: ENTRIES, servers: 2 * SERVERS };
      const used = after[index].processor - before[index].processor;
      printFigure({
        name: "idle processor",
        value: 100 * used * 1_000 / SPAN,
        unit: "% of a core",
        conditions,
      });
      printFigure({
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

async function readGauges(entry: Member) {
  const { body } = await request(`http://${entry.admin}/metrics`);
  const text = await body.text();
  const gauge = (name: string) =>
    Number(new RegExp(`^plumloft_${name} (.*)$`, "m").exec(text)![1]);
  return {
    processor: gauge("processor_seconds"),
    memory: gauge("memory_bytes"),
  };
}
