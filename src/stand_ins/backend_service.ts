/**
 * Stand-in of a backend server: keyed state, fenced grants, slots and
 * connections, cold start, shedding, deadlines and cancellation, endpoints that
 * lag or mislead, and a record of all that ran.
 *
 * Its behaviour for callers: `POST` runs non-idempotent work and answers with
 * the body that was sent; `PUT` stores the body under the path; `GET` answers
 * with what is stored there.
 *
 * @module
 */
import { appendFileSync } from "node:fs";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { z } from "zod";
import { GRANTS_PATH, HEALTH_PATH } from "../adapters/backend_client.ts";
import {
  DEADLINE,
  EXCHANGE,
  NOT_AFTER,
  OUTCOME,
  REQUEST_ID,
  SERVICE,
  SLOT,
  TOKEN,
} from "../adapters/headers.ts";
import { checksSchema } from "../core/configuration/index.ts";
import type { Run } from "../load/index.ts";
import { addressSchema } from "../settings/index.ts";
import { readBytes, readJson, sendJson, StandIn } from "./stand_in.ts";
import { FAULTS_PATH } from "./log_service.ts";
import { WorkQueue } from "./work_queue.ts";

/** Where the record of what ran is read. */
export const RUNS_PATH = "/stand-in/runs";
/** Where load is reported. */
export const LOAD_PATH = "/plumloft/load";

/** Settings of the stand-in. Durations are milliseconds. */
export const backendServiceSchema = z.strictObject({
  id: z.string().min(1),
  listen: addressSchema,
  slots: z.number().int().positive().default(3),
  connections: z.number().int().positive().default(100),
  /** Requests that wait for a slot before others are shed. */
  queue: z.number().int().nonnegative().default(16),
  /** Time that a request takes. */
  work: z.number().nonnegative().default(1),
  /** Time after the start in which work takes ten times as long. */
  coldStart: z.number().nonnegative().default(0),
  checks: checksSchema.prefault({}),
  /** File to which each run is written as it starts; none if absent. */
  runsFile: z.string().optional(),
});

/** See {@linkcode backendServiceSchema}. */
export type BackendServiceSettings = z.infer<typeof backendServiceSchema>;

/** Faults of the stand-in; all are off at the start. */
export const backendFaultsSchema = z.strictObject({
  /** Time that a request takes instead of the one in the settings. */
  work: z.number().nonnegative().nullable().default(null),
  /** It sheds everything. */
  shed: z.boolean().default(false),
  /** Its health endpoint says the opposite. */
  misleadHealth: z.boolean().default(false),
  /** Its load endpoint reports nothing to do. */
  misleadLoad: z.boolean().default(false),
  /** Requests whose connection is reset before they run. */
  resetBefore: z.number().int().nonnegative().default(0),
  /** Requests whose connection is reset after they ran. */
  resetAfter: z.number().int().nonnegative().default(0),
  /** Answers that are cut short. */
  cutShort: z.number().int().nonnegative().default(0),
  /** Answers that name another exchange. */
  crossed: z.number().int().nonnegative().default(0),
});

/** See {@linkcode backendFaultsSchema}. */
export type BackendFaults = z.infer<typeof backendFaultsSchema>;

/** Time for which idle connections are kept, in milliseconds. */
const KEEP_ALIVE = 120_000;
/** Factor by which work takes longer during a cold start. */
const COLD_FACTOR = 10;

const grantsSchema = z.object({
  service: z.string(),
  slots: z.array(z.object({ slot: z.number(), token: z.number() })),
});

/** See the module's comment. */
export class BackendService extends StandIn {
  readonly #queue: WorkQueue;
  readonly #granted = new Map<string, number>();
  readonly #state = new Map<string, Buffer>();
  readonly #runs: Run[] = [];
  readonly #startedAt = Date.now();
  #faults: BackendFaults = backendFaultsSchema.parse({});

  private constructor(private readonly settings: BackendServiceSettings) {
    super();
    this.#queue = WorkQueue.create(settings.slots, settings.queue);
  }

  /** Starts the stand-in. */
  static async start(
    settings: BackendServiceSettings,
  ): Promise<BackendService> {
    const backend = new BackendService(settings);
    await backend.listen(settings.listen);
    backend.limit(settings.connections, KEEP_ALIVE);
    return backend;
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    switch (request.url) {
      case HEALTH_PATH:
        return sendJson(response, 200, {
          healthy: !this.#faults.misleadHealth,
        });
      case LOAD_PATH:
        return sendJson(response, 200, this.#load());
      case GRANTS_PATH:
        return this.#grant(await readJson(request), response);
      case RUNS_PATH:
        return sendJson(response, 200, this.#runs);
      case FAULTS_PATH:
        this.#faults = backendFaultsSchema.parse(await readJson(request));
        return sendJson(response, 200, this.#faults);
      default:
        return await this.#serve(request, response);
    }
  }

  #load() {
    return this.#faults.misleadLoad
      ? { running: 0, waiting: 0, slots: this.settings.slots }
      : {
        running: this.#queue.running,
        waiting: this.#queue.waiting,
        slots: this.settings.slots,
      };
  }

  #grant(body: unknown, response: ServerResponse): void {
    const { service, slots } = grantsSchema.parse(body);
    for (const { slot, token } of slots) {
      const key = `${service}/${slot}`;
      const known = this.#granted.get(key) ?? 0;
      this.#granted.set(key, Math.max(known, token));
    }
    sendJson(response, 200, { accepted: slots.length });
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (takeOne(this.#faults, "resetBefore")) {
      request.socket.destroy();
      return;
    }
    const body = await readBytes(request);
    response.setHeader(EXCHANGE, this.#echo(request));
    if (this.#faults.shed || !await this.#queue.enter()) {
      refuse(response, 503, "not-run", "no slot is free");
      return;
    }
    try {
      const refusal = this.#refusal(request);
      if (refusal !== null) {
        refuse(response, refusal.status, refusal.outcome, refusal.reason);
        return;
      }
      if (response.destroyed) return;
      await this.#run(request);
      this.#answer(request, response, body);
    } finally {
      this.#queue.leave();
    }
  }

  /** Why work may not start, or null when it may. */
  #refusal(request: IncomingMessage) {
    const { checks } = this.settings;
    const now = Date.now();
    const deadline = numberHeader(request, DEADLINE);
    if (deadline !== null && now >= deadline) {
      return { status: 503, outcome: "not-run", reason: "deadline passed" };
    }
    const slot = numberHeader(request, SLOT);
    if (slot === null) return null;
    const notAfter = numberHeader(request, NOT_AFTER) ?? Infinity;
    if (checks.lease && now >= notAfter) {
      return { status: 503, outcome: "not-run", reason: "lease passed" };
    }
    const key = `${request.headers[SERVICE]}/${slot}`;
    const isGranted = this.#granted.get(key) === numberHeader(request, TOKEN);
    if (checks.token && !isGranted) {
      return { status: 409, outcome: "fenced", reason: "token not granted" };
    }
    return null;
  }

  async #run(request: IncomingMessage): Promise<void> {
    const run: Run = {
      kind: "run",
      server: this.settings.id,
      requestId: String(request.headers[REQUEST_ID] ?? ""),
      exchange: String(request.headers[EXCHANGE] ?? ""),
      method: request.method ?? "",
      service: String(request.headers[SERVICE] ?? ""),
      slot: numberHeader(request, SLOT),
      token: numberHeader(request, TOKEN),
      startedAt: Date.now(),
      endedAt: 0,
    };
    this.#runs.push(run);
    const { runsFile } = this.settings;
    if (runsFile !== undefined) {
      // Written at once, so that it outlives the process.
      appendFileSync(runsFile, `${JSON.stringify(run)}\n`);
    }
    const work = this.#faults.work ?? this.settings.work;
    const isCold = run.startedAt < this.#startedAt + this.settings.coldStart;
    const time = isCold ? work * COLD_FACTOR : work;
    if (time > 0) await delay(time);
    run.endedAt = Date.now();
  }

  #answer(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): void {
    if (takeOne(this.#faults, "resetAfter")) {
      request.socket.destroy();
      return;
    }
    const path = request.url ?? "/";
    if (request.method === "PUT") this.#state.set(path, body);
    const answer = request.method === "GET" || request.method === "HEAD"
      ? this.#state.get(path) ?? Buffer.alloc(0)
      : body;
    response.setHeader("content-type", "application/octet-stream");
    response.setHeader("content-length", answer.length);
    response.setHeader("x-server", this.settings.id);
    if (answer.length > 1 && takeOne(this.#faults, "cutShort")) {
      response.write(answer.subarray(0, answer.length / 2));
      setImmediate(() => request.socket.destroy());
      return;
    }
    response.end(answer);
  }

  #echo(request: IncomingMessage): string {
    const exchange = String(request.headers[EXCHANGE] ?? "");
    return takeOne(this.#faults, "crossed") ? `${exchange}-other` : exchange;
  }
}

type CountedFault = "resetBefore" | "resetAfter" | "cutShort" | "crossed";

/** Uses up one of a counted fault; false when none is left. */
function takeOne(faults: BackendFaults, name: CountedFault): boolean {
  if (faults[name] === 0) return false;
  faults[name] -= 1;
  return true;
}

function numberHeader(request: IncomingMessage, name: string): number | null {
  const value = request.headers[name];
  return value === undefined ? null : Number(value);
}

function refuse(
  response: ServerResponse,
  status: number,
  outcome: string,
  reason: string,
): void {
  response.setHeader(OUTCOME, outcome);
  sendJson(response, status, { outcome, reason });
}
