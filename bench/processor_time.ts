/**
 * Processor time and memory of another process, from `/proc`.
 *
 * @module
 */
import { readFileSync } from "node:fs";

/** Clock ticks of the kernel in a second (`getconf CLK_TCK`). */
const TICKS = 100;

/** Seconds of processor time, user and system, that a process has used. */
export function processorSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[11]) + Number(fields[12])) / TICKS;
}

/** Bytes of resident memory of a process. */
export function residentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(status);
  return Number(match?.[1] ?? 0) * 1_024;
}
