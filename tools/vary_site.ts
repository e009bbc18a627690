/**
 * Generates a variant of a site file, to test deployments that the software was
 * not tuned for: with fewer or more VMs and servers, fewer availability zones,
 * other keyed services, and shorter or longer processing times.
 *
 *     node --import=tsx tools/vary_site.ts SITE_FILE --seed 3 --out FOLDER
 *
 * The file is edited as lines of text, so that everything else stays unchanged.
 * The file `wire.json` beside it is copied as well.
 *
 * @module
 */
import { copyFileSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { basename, dirname, join } from "node:path";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { createUniformGenerator } from "../src/core/random.ts";

/**
 * Parameters of a variant. Request rates are reduced in proportion if there are
 * fewer servers, and divided by `times`.
 */
export interface SiteVariant {
  /**
   * Number of availability zones to keep; the others are merged into them in
   * turn.
   */
  zones: number;
  /** Factor for the number of VMs; at least one is kept. */
  vms: number;
  /** Factor for the number of servers; at least one is kept. */
  servers: number;
  /** Factor for processing times, target latencies and deadlines. */
  times: number;
  /** Which services are partitioned by key. */
  keyed: "as before" | "none" | "all";
}

/** Number of random values that are skipped after seeding. */
const SKIPPED_VALUES = 8;
const ZONE_COUNTS = [1, 2, 4] as const;
const SIZE_FACTORS = [0.3, 1, 2.5] as const;
const TIME_FACTORS = [0.4, 1, 4] as const;
const KEYED_CHOICES = ["as before", "none", "all"] as const;

/** Derives a variant from a seed. */
export function variantOf(seed: number): SiteVariant {
  const nextRandom = createUniformGenerator(seed);
  // Generators with similar small seeds produce similar first values.
  for (let i = 0; i < SKIPPED_VALUES; i++) nextRandom();
  const pick = <T>(values: readonly T[]): T =>
    values[Math.floor(nextRandom() * values.length)];
  return {
    zones: pick(ZONE_COUNTS),
    vms: pick(SIZE_FACTORS),
    servers: pick(SIZE_FACTORS),
    times: pick(TIME_FACTORS),
    keyed: pick(KEYED_CHOICES),
  };
}

/** Applies a variant to the text of a site file. */
export function varySite(site: string, variant: SiteVariant): string {
  const lines = reduceZones(site, variant.zones).split("\n");
  return lines.map((line) => varyLine(line, variant)).join("\n");
}

/** Keeps the first `count` zones and merges the others into them in turn. */
function reduceZones(site: string, count: number): string {
  const list = /^zones = \[\n([^\]]*)\]/m.exec(site);
  if (list === null) return site;
  const entries = list[1].split("\n").filter((line) => line.trim() !== "");
  const names = [...list[1].matchAll(/name = "([^"]+)"/g)].map((match) =>
    match[1]
  );
  const kept = `zones = [\n${entries.slice(0, count).join("\n")}\n]`;
  let text = site.replace(list[0], kept);
  names.slice(count).forEach((name, index) => {
    text = text.replaceAll(`"${name}"`, `"${names[index % count]}"`);
  });
  return text;
}

function varyLine(line: string, variant: SiteVariant): string {
  if (line.includes("class = ") && line.includes("cpu_share")) {
    return scaleIntegers(line, "count", variant.vms);
  }
  if (line.includes("servers = [")) return varyService(line, variant);
  if (line.includes("work_ms")) return varyRequests(line, variant.times);
  if (line.includes("per_s") && line.includes("clients")) {
    const load = Math.min(1, variant.servers) / variant.times;
    return scaleNumbers(line, "per_s", load);
  }
  return line;
}

function varyService(line: string, { servers, keyed }: SiteVariant): string {
  const scaled = scaleIntegers(line, "count", servers);
  if (keyed === "as before") return scaled;
  const plain = scaled.replace(/, sharded = true, warm_s = [\d.]+/, "");
  return keyed === "none"
    ? plain
    : plain.replace(/ },$/, ", sharded = true, warm_s = 5.0 },");
}

function varyRequests(line: string, times: number): string {
  const work = /work_ms = \{[^}]*\}/;
  return line
    .replace(
      work,
      (part) => scaleNumbers(scaleNumbers(part, "mean", times), "max", times),
    )
    .replace(
      /(aim_ms|deadline_ms) = ([\d.]+)/g,
      (_, name, value) => `${name} = ${(Number(value) * times).toFixed(1)}`,
    );
}

function scaleIntegers(line: string, name: string, factor: number): string {
  return line.replaceAll(
    new RegExp(`\\b${name} = (\\d+)`, "g"),
    (_, value) =>
      `${name} = ${Math.max(1, Math.round(Number(value) * factor))}`,
  );
}

function scaleNumbers(line: string, name: string, factor: number): string {
  return line.replaceAll(
    new RegExp(`\\b${name} = ([\\d.]+)`, "g"),
    (_, value) => `${name} = ${(Number(value) * factor).toFixed(2)}`,
  );
}

async function main(): Promise<void> {
  const { _: [site], seed, out } = await yargs(hideBin(process.argv))
    .usage("vary_site SITE_FILE --seed N --out FOLDER")
    .option("seed", { type: "number", demandOption: true })
    .option("out", { type: "string", demandOption: true })
    .demandCommand(1)
    .strict()
    .parse();
  const variant = variantOf(seed);
  const file = join(out, `${basename(String(site), ".toml")}-${seed}.toml`);
  mkdirSync(out, { recursive: true });
  writeFileSync(file, varySite(readFileSync(String(site), "utf8"), variant));
  const wire = join(dirname(String(site)), "wire.json");
  copyFileSync(wire, join(out, "wire.json"));
  process.stdout.write(`${file} ${JSON.stringify(variant)}\n`);
}

if (process.argv[1]?.endsWith("vary_site.ts")) await main();
