/**
 * Makes a site file of a deployment that nobody has tuned for out of an
 * existing one: fewer or more VMs, one availability zone, one server of a
 * service a zone, other keyed services, shorter or longer work.
 *
 *     node --import=tsx tools/vary_site.ts SITE_FILE --seed 3 --out FOLDER
 *
 * The file is treated as lines of text, so that everything that is not varied
 * stays as it is; `wire.json` beside it is copied as well.
 *
 * @module
 */
import { copyFileSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { basename, dirname, join } from "node:path";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { uniformFloat64 } from "../src/core/random.ts";

/** What a variant changes. */
export interface SiteVariant {
  /** Zones that are left; those beyond take the names of these in turn. */
  zones: number;
  /** Factors of the numbers of VMs and of servers; at least one is left. */
  vms: number;
  servers: number;
  /** Factor of the work's, target and deadline times. */
  times: number;
  /** Which services are divided by key. */
  keyed: "as before" | "none" | "all";
}

/** Numbers that are left out at the start of a seed. */
const SKIPPED_DRAWS = 8;
const ZONES = [1, 2, 4] as const;
const SIZES = [0.3, 1, 2.5] as const;
const TIMES = [0.4, 1, 4] as const;
const KEYED = ["as before", "none", "all"] as const;

/** The variant of a seed. */
export function variantOf(seed: number): SiteVariant {
  const draw = uniformFloat64(seed);
  // Small seeds differ little in the first numbers.
  for (let i = 0; i < SKIPPED_DRAWS; i++) draw();
  const pick = <T>(values: readonly T[]): T =>
    values[Math.floor(draw() * values.length)];
  return {
    zones: pick(ZONES),
    vms: pick(SIZES),
    servers: pick(SIZES),
    times: pick(TIMES),
    keyed: pick(KEYED),
  };
}

/** Applies a variant to the text of a site file. */
export function varySite(site: string, variant: SiteVariant): string {
  const lines = mergeZones(site, variant.zones).split("\n");
  return lines.map((line) => varyLine(line, variant)).join("\n");
}

/** Gives zones beyond the first `count` the names of these in turn. */
function mergeZones(site: string, count: number): string {
  const list = /^zones = \[\n([^\]]*)\]/m.exec(site);
  if (list === null) return site;
  const entries = list[1].split("\n").filter((line) => line.trim() !== "");
  const names = [...list[1].matchAll(/name = "([^"]+)"/g)].map((each) =>
    each[1]
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
