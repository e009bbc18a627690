/**
 * A bounded load of callers that records what each of them saw.
 *
 * @module
 */
import { randomBytes, randomUUID } from "node:crypto";
import { Pool } from "undici";
import type { HeaderCodec } from "../runtime/header_codec.ts";
import { KEY_COUNT } from "../core/keyspace/index.ts";
import { Latencies } from "../metrics/index.ts";
import type { Call } from "./history.ts";

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** What callers do. */
export interface LoadPlan {
  /** Entries as `host:port`; each caller keeps to one while it is ready. */
  targets: string[];
  service: string;
  /** How callers' headers are written. */
  codec: HeaderCodec;
  host: string;
  path: string;
  /** Milliseconds for which a caller waits. */
  timeout: number;
  /** Number of different keys; 0 for requests without one. */
  keys: number;
  method: "GET" | "POST" | "PUT";
  /** Bytes of each body. */
  bodySize: number;
  /** Requests at the most. */
  requests: number;
  /** Seconds at the most. */
  seconds: number;
  /** Callers, each with one request at a time. */
  callers: number;
  /** Milliseconds between two requests of one caller. */
  pause: number;
  /** Whether the balancer sends callers to a target now; all if absent. */
  isReady?: (target: string) => boolean;
}

/** What came of a load. */
export interface LoadResult {
  calls: Call[];
  latencies: Latencies;
  seconds: number;
}

/** Runs a load to its end. */
export async function runLoad(
  plan: LoadPlan,
  observe: (call: Call) => void = () => {},
): Promise<LoadResult> {
  const pools = plan.targets.map((target) => ({
    target,
    pool: new Pool(`http://${target}`, { connections: plan.callers }),
  }));
  const calls: Call[] = [];
  const latencies = Latencies.create();
  const start = performance.now();
  const end = start + plan.seconds * 1_000;
  let next = 0;
  const act = async (caller: number) => {
    while (next < plan.requests && performance.now() < end) {
      const number = next++;
      const usable = pools.filter((each) =>
        plan.isReady?.(each.target) ?? true
      );
      if (usable.length === 0) return;
      const own = pools[caller % pools.length];
      const { target, pool } = usable.includes(own)
        ? own
        : usable[caller % usable.length];
      const begun = performance.now();
      const call = await sendOne(plan, target, pool, number);
      latencies.record(performance.now() - begun);
      calls.push(call);
      observe(call);
      if (plan.pause > 0) await pause(plan.pause);
    }
  };
  await Promise.all(
    Array.from({ length: plan.callers }, (_, caller) => act(caller)),
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
  const key = plan.keys === 0 ? null : spread(number, plan.keys);
  const hasBody = plan.method !== "GET";
  const body = hasBody ? `${requestId}:${filler(plan.bodySize)}` : null;
  const { timeout } = plan;
  const headers = {
    host: plan.host,
    ...plan.codec.forCaller({ id: requestId, timeout, key }),
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
    const answer = await pool.request({
      method: plan.method,
      path: plan.path,
      headers,
      body,
    });
    const text = await answer.body.text();
    call.status = answer.statusCode;
    if (answer.statusCode !== 200) call.outcome = outcomeOf(answer.statusCode);
    if (answer.statusCode === 200 && hasBody) call.matched = text === body;
  } catch {
    call.outcome = "unknown";
  }
  call.endedAt = Date.now();
  return call;
}

function filler(size: number): string {
  return randomBytes(Math.ceil(size / 2)).toString("hex").slice(0, size);
}

/** What a status promises: these say that the request has not run. */
function outcomeOf(status: number): Call["outcome"] {
  return NOT_RUN_STATUSES.has(status) ? "not-run" : "unknown";
}

/** Spreads numbered keys evenly over all keys. */
function spread(number: number, keys: number): number {
  return Math.floor((number % keys) * KEY_COUNT / keys);
}
