/**
 * What an entry costs beside a bare proxy, in one run.
 *
 * @module
 */
import autocannon from "autocannon";
import { spawn } from "node:child_process";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { build } from "esbuild";
import { Deployment, endProcess, waitFor } from "../test/support/deployment.ts";
import { loopbackAddress } from "../test/support/loopback_address.ts";
import { median, printFigure } from "./figure.ts";
import { processorSeconds } from "./processor_time.ts";

const CONNECTIONS = 64;
const SERVERS = 3;

/** One way from callers to backend servers. */
interface Path {
  name: string;
  url: string;
  headers: Record<string, string>;
  pid: number;
}

/** What one run on a path showed. */
interface Sample {
  perSecond: number;
  p50: number;
  p99: number;
  p999: number;
  microseconds: number;
  failed: number;
}

/** Measures throughput, latency and processor time of both. */
export async function measureOverhead(
  rounds: number,
  seconds: number,
): Promise<void> {
  const checks = { token: true, lease: true, echo: true };
  const service = { servers: SERVERS, checks, work: 0, slots: CONNECTIONS };
  const deployment = await Deployment.start({
    entries: 1,
    services: [
      { ...service, name: "archeio", keyHeader: null },
      { ...service, name: "apothiki", keyHeader: "x-stock-key" },
    ],
  });
  const address = loopbackAddress();
  const proxy = spawn(process.execPath, [
    await bundleProxy(),
    address,
    ...deployment.servers.slice(0, SERVERS).map((each) => each.address),
  ], { stdio: "inherit" });
  const [entry] = deployment.entries;
  const paths: Path[] = [
    { name: "bare", url: `http://${address}`, headers: {}, pid: proxy.pid! },
    {
      name: "entry un-keyed",
      url: `http://${entry.address}`,
      headers: {},
      pid: entry.child.pid!,
    },
    {
      name: "entry keyed",
      url: `http://${entry.address}`,
      headers: { "x-stock-key": "hide" },
      pid: entry.child.pid!,
    },
  ];
  try {
    await waitFor("the bare proxy", async () => {
      await autocannon({ url: `${address}/x`, amount: 1, connections: 1 });
      return true;
    });
    const samples = new Map<string, Sample[]>();
    for (let round = 0; round <= rounds; round++) {
      for (const path of paths) {
        const sample = await runPath(path, round === 0 ? 1 : seconds);
        if (round === 0) continue;
        samples.set(path.name, [...samples.get(path.name) ?? [], sample]);
      }
    }
    report(samples);
  } finally {
    await endProcess(proxy);
    await deployment.stop();
  }
}

async function runPath(path: Path, seconds: number): Promise<Sample> {
  const service = path.headers["x-stock-key"] === undefined
    ? "archeio"
    : "apothiki";
  const requests = path.headers["x-stock-key"] === undefined
    ? [{ method: "POST" as const, path: `/${service}/x`, body: "5byte" }]
    : Array.from({ length: 100 }, (_, index) => ({
      method: "POST" as const,
      path: `/${service}/x`,
      body: "5byte",
      headers: { "x-stock-key": `hide-${index}` },
    }));
  const before = processorSeconds(path.pid);
  const result = await autocannon({
    url: path.url,
    connections: CONNECTIONS,
    duration: seconds,
    requests,
  });
  const used = processorSeconds(path.pid) - before;
  const { latency, requests: sent } = result;
  return {
    perSecond: sent.average,
    p50: latency.p50,
    p99: latency.p99,
    p999: latency.p99_9,
    microseconds: used / sent.total * 1e6,
    failed: result.non2xx + result.errors,
  };
}

function report(samples: Map<string, Sample[]>): void {
  const bare = samples.get("bare")!;
  for (const [path, own] of samples) {
    const figures: [string, keyof Sample, string][] = [
      ["overhead.throughput", "perSecond", "requests/s"],
      ["overhead.p50", "p50", "ms"],
      ["overhead.p99", "p99", "ms"],
      ["overhead.p99.9", "p999", "ms"],
      ["overhead.processor", "microseconds", "us/request"],
      ["overhead.failed", "failed", "requests"],
    ];
    for (const [name, field, unit] of figures) {
      const value = median(own.map((each) => each[field]));
      printFigure({ name, value, unit, circumstances: { path } });
    }
    if (path === "bare") continue;
    for (const field of ["perSecond", "microseconds"] as const) {
      const ratios = own.map((each, round) => each[field] / bare[round][field]);
      printFigure({
        name: field === "perSecond"
          ? "overhead.throughput.ratio"
          : "overhead.processor.ratio",
        value: median(ratios),
        unit: "of bare proxy",
        circumstances: { path, connections: CONNECTIONS },
      });
    }
  }
}

async function bundleProxy(): Promise<string> {
  const folder = mkdtempSync(join(tmpdir(), "plumloft-bench-"));
  const outfile = join(folder, "bare_proxy.cjs");
  await build({
    entryPoints: ["bench/bare_proxy.ts"],
    outfile,
    bundle: true,
    platform: "node",
    format: "cjs",
    logLevel: "error",
  });
  return outfile;
}
