/**
 * Stand-in for a backend server: registers itself in the store, accepts leases
 * for keys, runs a bounded number of requests concurrently, refuses the rest or
 * resets their connections, and records every request that ran.
 *
 * `POST` returns the body that was sent; `PUT` stores the body under the path;
 * `GET` returns the body that is stored there.
 *
 * @module
 */
import { appendFileSync } from "node:fs";
import {
  type IncomingMessage,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { request as send } from "undici";
import * as z from "zod";
import type { Arrival, Run } from "../load/history.ts";
import { errorText } from "../errors/index.ts";
import { addressSchema } from "../settings/address.ts";
import { readBody, readJson, sendJson, StandIn } from "./stand_in.ts";
import { FAULTS_PATH } from "./store_service.ts";
import { frameRecord, HEADER, REGISTRY_TOPIC } from "./wire.ts";
import { WorkQueue } from "./work_queue.ts";

/** Path of the calls that return the ranges of keys that the server holds. */
export const LEASES_PATH = "/stand-in/leases";

/** Number of parts in which a body without a length is sent. */
const BODY_PARTS = 10;

/** Settings of the stand-in. Durations are milliseconds. */
export const backendServiceSchema = z.strictObject({
  /** Id of the server; it may stay the same when the process restarts. */
  id: z.string().min(1),
  service: z.string().min(1),
  availabilityZone: z.string().default("a"),
  listen: addressSchema,
  /**
   * Address under which it registers itself, if it differs from the one at
   * which it listens, for example behind a proxy.
   */
  advertised: addressSchema.optional(),
  /** Address of the store. */
  store: addressSchema,
  /** Whether it runs only requests for keys that it has a lease for. */
  keyed: z.boolean().default(false),
  /** Maximum requests that run concurrently. */
  slots: z.number().int().positive().default(3),
  /** Maximum requests that wait for a slot; further ones are refused. */
  queue: z.number().int().nonnegative().default(12),
  /**
   * Whether it resets the connection when the queue is full, instead of
   * refusing the request.
   */
  resetsWhenFull: z.boolean().default(false),
  /** Processing time of a request. */
  work: z.number().nonnegative().default(1),
  heartbeatInterval: z.number().positive().default(870),
  /**
   * Path with query whose requests crash the process after they ran: no
   * response is sent, and all connections are reset. None if absent.
   */
  endedBy: z.string().optional(),
  /** File to which each run is appended when it starts; none if absent. */
  runsFile: z.string().optional(),
  /**
   * File to which each request is appended when it arrives; none if absent.
   */
  arrivalsFile: z.string().optional(),
});

/** See {@linkcode backendServiceSchema}. */
export type BackendServiceSettings = z.infer<typeof backendServiceSchema>;

/** Faults that can be injected; all are off initially. */
export const backendFaultsSchema = z.strictObject({
  /** Refuses all requests. */
  shed: z.boolean().default(false),
  /** `Retry-After` header of these refusals; null for none. */
  retryAfter: z.string().nullable().default(null),
  /** Number of upcoming requests that run but get no response. */
  loseAnswers: z.number().int().nonnegative().default(0),
  /** Number of upcoming responses that carry the id of another request. */
  crossed: z.number().int().nonnegative().default(0),
  /** Registers itself as draining, and states so in all responses. */
  draining: z.boolean().default(false),
  /**
   * States in all responses that it is leaving, without a change of its entry
   * in the registry.
   */
  leaving: z.boolean().default(false),
  /** Processing time of a request; null for the one in the settings. */
  work: z.number().nonnegative().nullable().default(null),
  /**
   * Rate limit that it reports but does not enforce, in requests per second
   * from all VMs combined; null for none.
   */
  rateLimit: z.string().nullable().default(null),
  /**
   * Sends the body of each response in parts over this time, in milliseconds,
   * without a length: the response ends with its connection. Null for responses
   * with a length.
   */
  closeDelimitedFor: z.number().nonnegative().nullable().default(null),
  /**
   * States its load in refusals of requests, and sends each of them a second
   * time when the next request arrives on its connection.
   */
  repeatsRefusals: z.boolean().default(false),
  /**
   * Status of the responses to requests that it has run; null for success. They
   * are signed and do not state that the request was not run.
   */
  failureStatus: z.number().int().nullable().default(null),
});

/** See {@linkcode backendFaultsSchema}. */
export type BackendFaults = z.infer<typeof backendFaultsSchema>;

/**
 * A grant order. `from` and `target` are the first and last key, `token` is
 * higher than those of earlier orders, and `holdTime` is the duration of the
 * lease in milliseconds.
 */
const grantSchema = z.object({
  from: z.number(),
  target: z.number(),
  token: z.number(),
  holdTime: z.number(),
});
const releaseSchema = grantSchema.omit({ holdTime: true });

/** A range of keys with a lease; `expiresAt` is in Unix milliseconds. */
export interface GrantedRange {
  from: number;
  target: number;
  token: number;
  expiresAt: number;
}

/** See the module's comment. */
export class BackendService extends StandIn {
  readonly #startedAt = Date.now();
  readonly #queue: WorkQueue;
  readonly #stored = new Map<string, Buffer>();
  readonly #receivedOrders: { from: number; target: number; token: number }[] =
    [];
  readonly #runs: Run[] = [];
  /** Refusals to send a second time, by connection. */
  readonly #lateCopies = new WeakMap<Socket, string>();
  readonly #heartbeat: NodeJS.Timeout;
  #grantedRanges: GrantedRange[] = [];
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

  /** Starts the stand-in and resolves after it has registered itself. */
  static async start(
    settings: BackendServiceSettings,
  ): Promise<BackendService> {
    const backend = new BackendService(settings);
    await backend.listen(settings.listen);
    await backend.#register();
    return backend;
  }

  /** All requests that ran, in the order of their start. */
  get runs(): readonly Run[] {
    return this.#runs;
  }

  /** The ranges of keys that it holds now. */
  get leases(): GrantedRange[] {
    return this.#grantedRanges.filter(({ expiresAt }) =>
      expiresAt > Date.now()
    );
  }

  /** Sets the given faults and leaves the others as they are. */
  setFaults(faults: Partial<BackendFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
    if (this.#faults.draining && !this.#isDraining) void this.drain();
  }

  /** Registers itself as draining. */
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
    if (this.#isLeaving) response.setHeader(HEADER.leaving, "1");
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
      case LEASES_PATH:
        return sendJson(response, 200, this.leases);
      case FAULTS_PATH:
        this.setFaults(backendFaultsSchema.parse(await readJson(request)));
        return sendJson(response, 200, this.#faults);
      default:
        return await this.#handleRequest(request, response);
    }
  }

  /**
   * Handles a grant order, which replaces older leases of the same keys.
   * Rejects it if an order with a higher token was received for one of them.
   */
  #grant(grant: z.infer<typeof grantSchema>, response: ServerResponse): void {
    const isSuperseded = this.#receivedOrders.some((each) =>
      each.from <= grant.target && grant.from <= each.target &&
      each.token > grant.token
    );
    if (isSuperseded) return sendJson(response, 409, {});
    this.#receivedOrders.push(grant);
    this.#removeRange(grant);
    const expiresAt = Date.now() + grant.holdTime;
    this.#grantedRanges.push({ ...grant, expiresAt });
    sendJson(response, 200, {});
  }

  /** Handles a release order. */
  #release(order: z.infer<typeof releaseSchema>, response: ServerResponse) {
    this.#receivedOrders.push(order);
    this.#removeRange(order);
    response.setHeader(HEADER.handover, `handover-${this.settings.id}`);
    sendJson(response, 200, {});
  }

  #removeRange({ from, target }: { from: number; target: number }): void {
    this.#grantedRanges = this.#grantedRanges.flatMap((each) => {
      if (each.target < from || each.from > target) return [each];
      const parts: GrantedRange[] = [];
      if (each.from < from) parts.push({ ...each, target: from - 1 });
      if (each.target > target) parts.push({ ...each, from: target + 1 });
      return parts;
    });
  }

  async #handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    const id = String(request.headers[HEADER.requestId] ?? "");
    response.setHeader(HEADER.requestId, id);
    response.setHeader(HEADER.server, this.settings.id);
    this.#recordArrival(id);
    await this.#sendLateCopy(request.socket);
    const range = this.#findGrantedRange(request);
    const isMisdirected = this.#isMisdirected(request);
    if (isMisdirected || (this.settings.keyed && range === undefined)) {
      return this.#refuse(response, 421);
    }
    if (this.#faults.shed) return this.#shed(response);
    if (!await this.#queue.acquire()) {
      if (!this.settings.resetsWhenFull) return this.#refuse(response, 503);
      return void request.socket.destroy();
    }
    try {
      if (response.destroyed) return;
      await this.#run(request, id, range);
      if (request.url === this.settings.endedBy) return killProcess();
      await this.#respond(request, response, body, id);
    } finally {
      this.#queue.release();
    }
  }

  /** Refuses a request, stating that it did not run. */
  #refuse(response: ServerResponse, status: number): void {
    if (this.#faults.repeatsRefusals && response.socket !== null) {
      response.setHeader(HEADER.load, this.#load);
      this.#lateCopies.set(response.socket, refusalText(response, status));
    }
    refuse(response, status);
  }

  /** What it states of its load. */
  get #load(): string {
    const { running, waiting, slots } = this.#queue;
    return `${running},${waiting},${slots}`;
  }

  /** Sends the second copy of an earlier refusal, if there is one. */
  async #sendLateCopy(socket: Socket): Promise<void> {
    const copy = this.#lateCopies.get(socket);
    if (copy === undefined) return;
    this.#lateCopies.delete(socket);
    socket.write(copy);
    // The response to the request follows separately.
    await delay(2);
  }

  /** Whether it states that it is leaving. */
  get #isLeaving(): boolean {
    return this.#isDraining || this.#faults.leaving;
  }

  #recordArrival(requestId: string): void {
    const { id: server, arrivalsFile } = this.settings;
    if (arrivalsFile === undefined) return;
    const { shed, retryAfter } = this.#faults;
    const arrival: Arrival = {
      kind: "arrival",
      server,
      incarnation: this.#startedAt,
      requestId,
      at: Date.now(),
      isLeaving: this.#isLeaving,
      backoff: shed && retryAfter !== null ? Number(retryAfter) * 1_000 : null,
    };
    appendFileSync(arrivalsFile, `${JSON.stringify(arrival)}\n`);
  }

  #shed(response: ServerResponse): void {
    const { retryAfter } = this.#faults;
    if (retryAfter !== null) response.setHeader(HEADER.retryAfter, retryAfter);
    this.#refuse(response, 503);
  }

  /** Whether the request is addressed to another server. */
  #isMisdirected(request: IncomingMessage): boolean {
    const expected = request.headers[HEADER.expectedServer];
    return expected !== undefined && expected !== this.settings.id;
  }

  #findGrantedRange(request: IncomingMessage): GrantedRange | undefined {
    const key = Number(request.headers[HEADER.key]);
    const now = Date.now();
    return this.#grantedRanges.find((each) =>
      each.from <= key && key <= each.target && each.expiresAt > now
    );
  }

  /** Runs a request: records the run and waits for the processing time. */
  async #run(
    request: IncomingMessage,
    id: string,
    range: GrantedRange | undefined,
  ): Promise<void> {
    const key = request.headers[HEADER.key];
    const run: Run = {
      kind: "run",
      server: this.settings.id,
      requestId: id,
      method: request.method ?? "",
      service: this.settings.service,
      key: key === undefined ? null : Number(key),
      token: range?.token ?? null,
      startedAt: Date.now(),
      endedAt: 0,
    };
    this.#runs.push(run);
    const { runsFile, work } = this.settings;
    if (runsFile !== undefined) {
      // Written synchronously, so that the line survives a crash of the
      // process.
      appendFileSync(runsFile, `${JSON.stringify(run)}\n`);
    }
    await delay(this.#faults.work ?? work);
    run.endedAt = Date.now();
  }

  async #respond(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    id: string,
  ): Promise<void> {
    if (this.#faults.loseAnswers > 0) {
      this.#faults.loseAnswers -= 1;
      request.socket.destroy();
      return;
    }
    if (this.#faults.crossed > 0) {
      this.#faults.crossed -= 1;
      response.setHeader(HEADER.requestId, `${id}-other`);
    }
    const path = request.url ?? "/";
    if (request.method === "PUT") this.#stored.set(path, body);
    const responseBody = request.method === "GET"
      ? this.#stored.get(path) ?? Buffer.alloc(0)
      : body;
    response.setHeader(HEADER.load, this.#load);
    const { rateLimit } = this.#faults;
    if (rateLimit !== null) response.setHeader(HEADER.rateLimit, rateLimit);
    response.setHeader(
      HEADER.signature,
      `${this.settings.id}.${responseBody.length}`,
    );
    const { closeDelimitedFor, failureStatus } = this.#faults;
    if (failureStatus !== null) response.statusCode = failureStatus;
    if (closeDelimitedFor !== null) {
      return await sendCloseDelimited(
        response,
        responseBody,
        closeDelimitedFor,
      );
    }
    response.setHeader("content-length", responseBody.length);
    response.end(responseBody);
  }

  /**
   * Writes its entry to the store. A failure is logged; the next heartbeat
   * retries.
   */
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
      const response = await send(`http://${store}${path}`, {
        method: "POST",
        body: frameRecord(id, JSON.stringify(entry)),
      });
      await response.body.dump();
    } catch (error) {
      process.stderr.write(`${id}: cannot register: ${errorText(error)}\n`);
    }
  }
}

/** Simulates a crash: kills this process without cleanup or notice. */
function killProcess(): void {
  process.kill(process.pid, "SIGKILL");
}

/**
 * Sends a body without a length in {@linkcode BODY_PARTS} parts over `duration`
 * milliseconds, then ends the connection.
 */
async function sendCloseDelimited(
  response: ServerResponse,
  body: Buffer,
  duration: number,
): Promise<void> {
  response.useChunkedEncodingByDefault = false;
  response.setHeader("connection", "close");
  const size = Math.ceil(body.length / BODY_PARTS);
  for (let i = 0; i < BODY_PARTS && !response.destroyed; i++) {
    response.write(body.subarray(i * size, (i + 1) * size));
    await delay(duration / BODY_PARTS);
  }
  response.end();
}

/** Text of a refusal with the headers that are set so far. */
function refusalText(response: ServerResponse, status: number): string {
  const headers = Object.entries(response.getHeaders())
    .map(([name, value]) => `${name}: ${value}`);
  return [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    ...headers,
    `${HEADER.notRun}: 1`,
    "content-length: 0",
    "",
    "",
  ].join("\r\n");
}

/** Refuses a request, stating that it did not run. */
function refuse(response: ServerResponse, status: number): void {
  response.setHeader(HEADER.notRun, "1");
  sendJson(response, status, {});
}
