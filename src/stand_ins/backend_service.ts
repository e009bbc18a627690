/**
 * Stand-in of a backend server: registers itself, holds keys by grants, runs so
 * many requests at a time, sheds or resets the rest, and records all that ran.
 *
 * `POST` answers with the body that was sent; `PUT` stores the body under the
 * path; `GET` answers with what is stored there.
 *
 * @module
 */
import { appendFileSync } from "node:fs";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { request as send } from "undici";
import * as z from "zod";
import type { Run } from "../load/history.ts";
import { errorText } from "../errors/index.ts";
import { addressSchema } from "../settings/address.ts";
import { readBytes, readJson, sendJson, StandIn } from "./stand_in.ts";
import { FAULTS_PATH } from "./store_service.ts";
import { frameRecord, HEADER, REGISTRY_TOPIC } from "./wire.ts";
import { WorkQueue } from "./work_queue.ts";

/** Settings of the stand-in. Durations are milliseconds. */
export const backendServiceSchema = z.strictObject({
  /** Names the server; a process that starts again may keep it. */
  id: z.string().min(1),
  service: z.string().min(1),
  availabilityZone: z.string().default("a"),
  listen: addressSchema,
  /** Address under which it registers itself, if it is reached through
   * something else. */
  advertised: addressSchema.optional(),
  /** Address of the store. */
  store: addressSchema,
  keyed: z.boolean().default(false),
  slots: z.number().int().positive().default(3),
  /** Requests that wait for a slot before others are refused. */
  queue: z.number().int().nonnegative().default(12),
  /** Whether it resets connections when it is full, instead of refusing. */
  resetsWhenFull: z.boolean().default(false),
  /** Time that a request takes. */
  work: z.number().nonnegative().default(1),
  heartbeatInterval: z.number().positive().default(870),
  /** Path, with its query, whose requests end the process that has worked on one:
   * no answer is given, and all that it has is reset. None if absent. */
  endedBy: z.string().optional(),
  /** File to which each run is written as it starts; none if absent. */
  runsFile: z.string().optional(),
});

/** See {@linkcode backendServiceSchema}. */
export type BackendServiceSettings = z.infer<typeof backendServiceSchema>;

/** Faults of the stand-in; all are off at the start. */
export const backendFaultsSchema = z.strictObject({
  /** It refuses everything. */
  shed: z.boolean().default(false),
  /** Answers that are lost after the request ran. */
  loseAnswers: z.number().int().nonnegative().default(0),
  /** Answers that name another request. */
  crossed: z.number().int().nonnegative().default(0),
  /** It says that it is about to leave. */
  draining: z.boolean().default(false),
  /** Time that a request takes instead of the one in the settings. */
  work: z.number().nonnegative().nullable().default(null),
  /** Rate limit that it states, in requests per second from all entries combined; it does
   * not enforce it. */
  rateLimit: z.string().nullable().default(null),
});

/** See {@linkcode backendFaultsSchema}. */
export type BackendFaults = z.infer<typeof backendFaultsSchema>;

const grantSchema = z.object({
  from: z.number(),
  target: z.number(),
  token: z.number(),
  holdTime: z.number(),
});
const releaseSchema = grantSchema.omit({ holdTime: true });

interface Holding {
  from: number;
  target: number;
  token: number;
  until: number;
}

/** See the module's comment. */
export class BackendService extends StandIn {
  readonly #startedAt = Date.now();
  readonly #queue: WorkQueue;
  readonly #state = new Map<string, Buffer>();
  readonly #seen: { from: number; target: number; token: number }[] = [];
  readonly #runs: Run[] = [];
  readonly #heartbeat: NodeJS.Timeout;
  #holdings: Holding[] = [];
  #isDraining = false;
  #sequence = 0;
  #faults: BackendFaults = backendFaultsSchema.parse({});

  private constructor(private readonly settings: BackendServiceSettings) {
    super();
    this.#queue = WorkQueue.create(settings.slots, settings.queue);
    this.#heartbeat = setInterval(
      () => void this.#register(),
      settings.heartbeatInterval,
    );
    this.#heartbeat.unref();
  }

  /** Starts the stand-in. */
  static async start(
    settings: BackendServiceSettings,
  ): Promise<BackendService> {
    const backend = new BackendService(settings);
    await backend.listen(settings.listen);
    await backend.#register();
    return backend;
  }

  /** All that ran. */
  get runs(): readonly Run[] {
    return this.#runs;
  }

  /** Switches faults. */
  set(faults: Partial<BackendFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
    if (this.#faults.draining && !this.#isDraining) void this.drain();
  }

  /** Says that it is about to leave. */
  async drain(): Promise<void> {
    this.#isDraining = true;
    await this.#register();
  }

  override close(): void {
    clearInterval(this.#heartbeat);
    super.close();
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const isOrder = request.url === "/-/grant" || request.url === "/-/release";
    if (isOrder && this.#isMisdirected(request)) return refuse(response, 421);
    switch (request.url) {
      case "/-/grant":
        return this.#grant(
          grantSchema.parse(await readJson(request)),
          response,
        );
      case "/-/release":
        return this.#release(
          releaseSchema.parse(await readJson(request)),
          response,
        );
      case FAULTS_PATH:
        this.set(backendFaultsSchema.parse(await readJson(request)));
        return sendJson(response, 200, this.#faults);
      default:
        return await this.#serve(request, response);
    }
  }

  #grant(grant: z.infer<typeof grantSchema>, response: ServerResponse): void {
    const isOld = this.#seen.some((each) =>
      each.from <= grant.target && grant.from <= each.target &&
      each.token > grant.token
    );
    if (isOld) return sendJson(response, 409, {});
    this.#seen.push(grant);
    this.#cut(grant);
    const until = Date.now() + grant.holdTime;
    this.#holdings.push({ ...grant, until });
    sendJson(response, 200, {});
  }

  #release(order: z.infer<typeof releaseSchema>, response: ServerResponse) {
    this.#seen.push(order);
    this.#cut(order);
    response.setHeader(HEADER.handover, `handover-${this.settings.id}`);
    sendJson(response, 200, {});
  }

  #cut({ from, target }: { from: number; target: number }): void {
    this.#holdings = this.#holdings.flatMap((each) => {
      if (each.target < from || each.from > target) return [each];
      const parts: Holding[] = [];
      if (each.from < from) parts.push({ ...each, target: from - 1 });
      if (each.target > target) parts.push({ ...each, from: target + 1 });
      return parts;
    });
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBytes(request);
    const id = String(request.headers[HEADER.requestId] ?? "");
    response.setHeader(HEADER.requestId, id);
    response.setHeader(HEADER.server, this.settings.id);
    const holding = this.#holding(request);
    const isMisdirected = this.#isMisdirected(request);
    if (isMisdirected || (this.settings.keyed && holding === undefined)) {
      return refuse(response, 421);
    }
    if (this.#faults.shed) return refuse(response, 503);
    if (!await this.#queue.enter()) {
      if (!this.settings.resetsWhenFull) return refuse(response, 503);
      return void request.socket.destroy();
    }
    try {
      if (response.destroyed) return;
      await this.#run(request, id, holding);
      if (request.url === this.settings.endedBy) return endProcess();
      this.#answer(request, response, body, id);
    } finally {
      this.#queue.leave();
    }
  }

  /** Whether the call is meant for another run. */
  #isMisdirected(request: IncomingMessage): boolean {
    const expected = request.headers[HEADER.expectedServer];
    return expected !== undefined && expected !== this.settings.id;
  }

  #holding(request: IncomingMessage): Holding | undefined {
    const key = Number(request.headers[HEADER.key]);
    const now = Date.now();
    return this.#holdings.find((each) =>
      each.from <= key && key <= each.target && each.until > now
    );
  }

  async #run(
    request: IncomingMessage,
    id: string,
    holding: Holding | undefined,
  ): Promise<void> {
    const key = request.headers[HEADER.key];
    const run: Run = {
      kind: "run",
      server: this.settings.id,
      requestId: id,
      method: request.method ?? "",
      service: this.settings.service,
      key: key === undefined ? null : Number(key),
      token: holding?.token ?? null,
      startedAt: Date.now(),
      endedAt: 0,
    };
    this.#runs.push(run);
    const { runsFile, work } = this.settings;
    if (runsFile !== undefined) {
      // Written at once, so that it outlives the process.
      appendFileSync(runsFile, `${JSON.stringify(run)}\n`);
    }
    await delay(this.#faults.work ?? work);
    run.endedAt = Date.now();
  }

  #answer(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    id: string,
  ): void {
    if (this.#faults.loseAnswers > 0) {
      this.#faults.loseAnswers -= 1;
      return void request.socket.destroy();
    }
    if (this.#faults.crossed > 0) {
      this.#faults.crossed -= 1;
      response.setHeader(HEADER.requestId, `${id}-other`);
    }
    const path = request.url ?? "/";
    if (request.method === "PUT") this.#state.set(path, body);
    const answer = request.method === "GET"
      ? this.#state.get(path) ?? Buffer.alloc(0)
      : body;
    const { running, waiting, slots } = this.#queue;
    response.setHeader(HEADER.load, `${running},${waiting},${slots}`);
    const { rateLimit } = this.#faults;
    if (rateLimit !== null) response.setHeader(HEADER.rateLimit, rateLimit);
    response.setHeader(
      HEADER.signature,
      `${this.settings.id}.${answer.length}`,
    );
    response.setHeader("content-length", answer.length);
    response.end(answer);
  }

  /** Writes its entry to the store; the next heartbeat makes up for a failure. */
  async #register(): Promise<void> {
    const { id, service, availabilityZone, slots, store } = this.settings;
    this.#sequence += 1;
    const entry = {
      born: this.#startedAt,
      service,
      address: this.settings.advertised ?? this.address,
      zone: availabilityZone,
      slots,
      state: this.#isDraining ? "draining" : "ready",
      warmupLeft: 0,
      sequence: this.#sequence,
    };
    try {
      const path = `/-/log-append?topic=${REGISTRY_TOPIC}&part=0`;
      const answer = await send(`http://${store}${path}`, {
        method: "POST",
        body: frameRecord(id, JSON.stringify(entry)),
      });
      await answer.body.dump();
    } catch (error) {
      process.stderr.write(`${id}: cannot register: ${errorText(error)}\n`);
    }
  }
}

/** Ends this process as a fault in it would, with nothing said to anybody. */
function endProcess(): void {
  process.kill(process.pid, "SIGKILL");
}

/** States that the request did not run. */
function refuse(response: ServerResponse, status: number): void {
  response.setHeader(HEADER.notRun, "1");
  sendJson(response, status, {});
}
