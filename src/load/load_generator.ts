/**
 * Generates a bounded load of requests and records the outcome of each.
 *
 * @module
 */
import { randomBytes, randomUUID } from "node:crypto";
import { Pool } from "undici";
import type { HeaderCodec } from "../runtime/header_codec.ts";
import { KEY_COUNT } from "../core/keyspace/index.ts";
import { LatencyHistogram } from "../metrics/index.ts";
import type { Call } from "./history.ts";

/**
 * HTTP statuses that guarantee that no server has run the request or will run
 * it.
 */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Parameters of a load. */
export interface LoadPlan {
  /**
   * Addresses of entry processes as `host:port`. Each caller uses the same one
   * while it is ready.
   */
  targets: string[];
  service: string;
  /** Encodes the callers' headers. */
  codec: HeaderCodec;
  host: string;
  path: string;
  /** Timeout of a request, in milliseconds. */
  timeout: number;
  /** Number of distinct keys; 0 for requests without a key. */
  keys: number;
  method: "GET" | "POST" | "PUT";
  /** Size of the random part of each body, in bytes. */
  bodySize: number;
  /** Maximum number of requests. */
  requests: number;
  /** Maximum duration, in seconds. */
  seconds: number;
  /** Number of concurrent callers; each sends one request at a time. */
  callers: number;
  /** Pause between two requests of one caller, in milliseconds. */
  pause: number;
  /**
   * Whether the load balancer sends callers to a target now; always if absent.
   * A caller stops when no target is ready.
   */
  isReady?: (target: string) => boolean;
}

/** Result of a load. */
export interface LoadResult {
  calls: Call[];
  latencies: LatencyHistogram;
  /** Duration of the load, in seconds. */
  seconds: number;
}

/** Runs a load and calls `onCall` after each request. */
export async function runLoad(
  plan: LoadPlan,
  onCall: (call: Call) => void = () => {},
): Promise<LoadResult> {
  const pools = plan.targets.map((target) => ({
    target,
    pool: new Pool(`http://${target}`, { connections: plan.callers }),
  }));
  const calls: Call[] = [];
  const latencies = LatencyHistogram.create();
  const start = performance.now();
  const end = start + plan.seconds * 1_000;
  let nextNumber = 0;
  const runCaller = async (caller: number) => {
    while (nextNumber < plan.requests && performance.now() < end) {
      const number = nextNumber++;
      const readyTargets = pools.filter((candidate) =>
        plan.isReady?.(candidate.target) ?? true
      );
      if (readyTargets.length === 0) return;
      const preferred = pools[caller % pools.length];
      const { target, pool } = readyTargets.includes(preferred)
        ? preferred
        : readyTargets[caller % readyTargets.length];
      const sentAt = performance.now();
      const call = await sendOne(plan, target, pool, number);
      latencies.record(performance.now() - sentAt);
      calls.push(call);
      onCall(call);
      if (plan.pause > 0) await pause(plan.pause);
    }
  };
  await Promise.all(
    Array.from({ length: plan.callers }, (_, caller) => runCaller(caller)),
  );
  await Promise.all(pools.map(({ pool }) => pool.destroy()));
  return { calls, latencies, seconds: (performance.now() - start) / 1_000 };
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function sendOne(
  plan: LoadPlan,
  target: string,
  pool: Pool,
  number: number,
): Promise<Call> {
  const requestId = randomUUID();
  const key = plan.keys === 0 ? null : spreadKey(number, plan.keys);
  const hasBody = plan.method !== "GET";
  const body = hasBody ? `${requestId}:${randomText(plan.bodySize)}` : null;
  const { timeout } = plan;
  const headers = {
    host: plan.host,
    ...plan.codec.callerHeaders({ id: requestId, timeout, key }),
  };
  const call: Call = {
    kind: "call",
    requestId,
    service: plan.service,
    key: key === null ? null : String(key),
    method: plan.method,
    target,
    startedAt: Date.now(),
    endedAt: 0,
    status: 0,
    outcome: null,
    matched: null,
  };
  try {
    const result = await pool.request({
      method: plan.method,
      path: plan.path,
      headers,
      body,
    });
    const text = await result.body.text();
    call.status = result.statusCode;
    if (result.statusCode !== 200) call.outcome = toOutcome(result.statusCode);
    if (result.statusCode === 200 && hasBody) call.matched = text === body;
  } catch {
    call.outcome = "unknown";
  }
  call.endedAt = Date.now();
  return call;
}

function randomText(size: number): string {
  return randomBytes(Math.ceil(size / 2)).toString("hex").slice(0, size);
}

/**
 * Returns the outcome of a request whose response has another status than 200.
 */
function toOutcome(status: number): Call["outcome"] {
  return NOT_RUN_STATUSES.has(status) ? "not-run" : "unknown";
}

/**
 * Returns the key of the request with this number. The requests use `keys`
 * distinct keys, which are spread evenly over the key space.
 */
function spreadKey(number: number, keys: number): number {
  return Math.floor((number % keys) * KEY_COUNT / keys);
}
