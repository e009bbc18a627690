/**
 * Measures the throughput, latency and processor time of one entry process that
 * shares its machine with the callers and the backend servers.
 *
 * @module
 */
import { request } from "undici";
import { isServed, runLoad } from "../src/load/index.ts";
import { Deployment } from "../test/support/deployment.ts";
import { printMeasurement } from "./measurement.ts";

const LOAD_SECONDS = 10;
const CALLERS = 16;

/** Measures requests through one entry process, with and without keys. */
export async function measureOverhead(): Promise<void> {
  const deployment = await Deployment.start({ entries: 1, servers: 4 });
  try {
    const [entry] = deployment.entries;
    const readProcessorSeconds = async () => {
      const { body } = await request(`http://${entry.admin}/metrics`);
      const text = await body.text();
      return Number(/^plumloft_processor_seconds (.*)$/m.exec(text)![1]);
    };
    for (const service of ["stock", "orders"] as const) {
      const before = await readProcessorSeconds();
      const { calls, seconds, latencies } = await runLoad(
        deployment.plan(service, { seconds: LOAD_SECONDS, callers: CALLERS }),
      );
      const processorSeconds = await readProcessorSeconds() - before;
      const conditions = {
        service,
        callers: CALLERS,
        served: calls.filter(isServed).length,
        sent: calls.length,
      };
      printMeasurement({
        name: "requests",
        value: calls.length / seconds,
        unit: "1/s",
        conditions,
      });
      printMeasurement({
        name: "processor time for a request",
        value: 1e6 * processorSeconds / calls.length,
        unit: "us",
        conditions,
      });
      printMeasurement({
        name: "99th percentile",
        value: latencies.summary().percentiles[2].value,
        unit: "ms",
        conditions,
      });
    }
  } finally {
    deployment.stop();
  }
}
