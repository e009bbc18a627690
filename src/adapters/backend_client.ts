/**
 * Requests to backend servers by undici: callers' requests, probes and grants.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";
import { type Dispatcher, Pool } from "undici";
import { z } from "zod";
import type {
  Dispatch,
  GrantPush,
  Probe,
  ServerVerdict,
  SiteConfiguration,
} from "../core/index.ts";
import type { EventSink } from "./event_loop.ts";
import {
  DEADLINE,
  EXCHANGE,
  NOT_AFTER,
  OUTCOME,
  REQUEST_ID,
  SERVICE,
  SLOT,
  TOKEN,
} from "./headers.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import { errorText } from "../errors/index.ts";

/** Where a server answers probes. */
export const HEALTH_PATH = "/plumloft/health";
/** Where a server accepts grants. */
export const GRANTS_PATH = "/plumloft/grants";
/** Time in which a grant must be answered, in milliseconds. */
const GRANT_TIMEOUT = 300;
/** Time in which a connection must stand. */
const CONNECT_TIMEOUT = 300;
/** Time for which an idle connection is kept warm. */
const KEEP_ALIVE = 30_000;

const healthSchema = z.object({ healthy: z.boolean() });

/** What is sent to a server of a caller's request. */
export interface OutgoingRequest {
  method: string;
  path: string;
  /** Headers as `[name, value, ...]`. */
  headers: string[];
  body: Buffer | Readable | null;
}

/** Receives an answer, once the core has decided to pass it on. */
export interface AnswerReceiver {
  begin(status: number, headers: IncomingHttpHeaders): void;
  /** Returns false when no more should come before `resume` is called. */
  data(chunk: Buffer, resume: () => void): boolean;
  end(): void;
  /** The answer was cut short. */
  cut(): void;
}

/** An attempt in flight. */
interface Flight {
  controller: Dispatcher.DispatchController | null;
  receiver: AnswerReceiver;
  decision: "open" | "deliver" | "abort";
  status: number;
  headers: IncomingHttpHeaders;
  waiting: Buffer[];
  ended: boolean;
}

/** See the module's comment. */
export class BackendClient {
  readonly #pools = new Map<string, Pool>();
  readonly #control = new Map<string, Pool>();
  readonly #flights = new Map<number, Flight>();
  #configuration: SiteConfiguration | null = null;

  private constructor(
    private readonly vm: string,
    private readonly sink: EventSink,
  ) {}

  /** A client of the process `vm` whose events go to `sink`. */
  static create(vm: string, sink: EventSink): BackendClient {
    return new BackendClient(vm, sink);
  }

  /** Follows a configuration: pools of servers that are gone are closed. */
  configure(configuration: SiteConfiguration): void {
    this.#configuration = configuration;
    const addresses = new Set(
      [...configuration.services.values()]
        .flatMap((service) => service.backendServers)
        .map((server) => server.address),
    );
    for (const pools of [this.#pools, this.#control]) {
      for (const [address, pool] of pools) {
        if (addresses.has(address)) continue;
        pools.delete(address);
        void pool.close();
      }
    }
  }

  /** Sends a caller's request. */
  send(
    effect: Dispatch,
    request: OutgoingRequest,
    receiver: AnswerReceiver,
  ): void {
    const flight: Flight = {
      controller: null,
      receiver,
      decision: "open",
      status: 0,
      headers: {},
      waiting: [],
      ended: false,
    };
    const exchange = `${this.vm}-${effect.attempt}`;
    this.#flights.set(effect.attempt, flight);
    const pool = this.#pool(this.#pools, effect.address, effect.service);
    const handler = this.#handler(effect, exchange, flight);
    try {
      pool.dispatch({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: requestHeaders(effect, exchange, request.headers),
        body: request.body,
        headersTimeout: 0,
        bodyTimeout: 0,
      }, handler);
    } catch (error) {
      this.#fail(effect.attempt, flight, false, errorText(error));
    }
  }

  /** Passes an attempt's answer on. */
  deliver(attempt: number): void {
    const flight = this.#flights.get(attempt);
    if (flight === undefined) return;
    flight.decision = "deliver";
    flight.receiver.begin(flight.status, flight.headers);
    const waiting = flight.waiting;
    flight.waiting = [];
    for (const chunk of waiting) this.#pass(flight, chunk);
    if (flight.ended) this.#complete(attempt, flight);
  }

  /** Gives an attempt up and closes its connection. */
  abort(attempt: number, cause: string): void {
    const flight = this.#flights.get(attempt);
    if (flight === undefined) return;
    flight.decision = "abort";
    this.#flights.delete(attempt);
    flight.controller?.abort(new Error(cause));
  }

  /** Drops an attempt's answer; its connection stays in use. */
  discard(attempt: number): void {
    const flight = this.#flights.get(attempt);
    if (flight === undefined) return;
    flight.decision = "abort";
    this.#flights.delete(attempt);
  }

  /** Asks a server for its health. */
  probe(effect: Probe): void {
    const sentAt = monotonicNow();
    const ended = (healthy: boolean, cause: string) =>
      this.sink.push({
        kind: "probe.ended",
        now: monotonicNow(),
        server: effect.server,
        sentAt,
        healthy,
        cause,
      });
    this.#askHealth(effect).then(
      (healthy) => ended(healthy, healthy ? "" : "says that it is not healthy"),
      (error) => ended(false, errorText(error)),
    );
  }

  /** Tells a server which slots it holds. */
  grant(effect: GrantPush): void {
    const ended = (accepted: boolean, cause: string) =>
      this.sink.push({
        kind: "grant.ended",
        now: monotonicNow(),
        service: effect.service,
        server: effect.server,
        slots: effect.slots,
        accepted,
        cause,
      });
    this.#pushGrant(effect).then(
      (status) => ended(status === 200, `status ${status}`),
      (error) => ended(false, errorText(error)),
    );
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values(), ...this.#control.values()];
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  async #askHealth({ address, timeout }: Probe): Promise<boolean> {
    const pool = this.#pool(this.#control, address, null);
    const aborter = new AbortController();
    const timer = setTimeout(() => aborter.abort(), timeout);
    try {
      const { statusCode, body } = await pool.request({
        method: "GET",
        path: HEALTH_PATH,
        signal: aborter.signal,
      });
      const answer = healthSchema.safeParse(await body.json());
      return statusCode === 200 && answer.success && answer.data.healthy;
    } finally {
      clearTimeout(timer);
    }
  }

  async #pushGrant({ address, service, slots }: GrantPush): Promise<number> {
    const pool = this.#pool(this.#control, address, null);
    const { statusCode, body } = await pool.request({
      method: "PUT",
      path: GRANTS_PATH,
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ service, slots }),
      signal: AbortSignal.timeout(GRANT_TIMEOUT),
    });
    await body.dump();
    return statusCode;
  }

  #pool(
    pools: Map<string, Pool>,
    address: string,
    service: string | null,
  ): Pool {
    const known = pools.get(address);
    if (known !== undefined) return known;
    const configured = service === null
      ? undefined
      : this.#configuration?.services.get(service);
    const pool = new Pool(`http://${address}`, {
      connections: configured?.connections ?? 2,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE,
      connect: { timeout: CONNECT_TIMEOUT },
    });
    pools.set(address, pool);
    return pool;
  }

  #handler(
    effect: Dispatch,
    exchange: string,
    flight: Flight,
  ): Dispatcher.DispatchHandler {
    const { attempt } = effect;
    return {
      onRequestStart: (controller) => {
        flight.controller = controller;
        // The last look at the lease, right before the bytes go.
        const isLate = monotonicNow() >= effect.sendBefore;
        if (!isLate && flight.decision !== "abort") return;
        controller.abort(new Error("not sent: lease or deadline passed"));
        this.#fail(attempt, flight, false, "lease or deadline passed");
      },
      onResponseStart: (_, status, headers) => {
        if (flight.decision === "abort") return;
        flight.status = status;
        flight.headers = headers as IncomingHttpHeaders;
        this.sink.push({
          kind: "attempt.answered",
          now: monotonicNow(),
          attempt,
          status,
          verdict: this.#verdict(effect, exchange, status, flight.headers),
        });
      },
      onResponseData: (_, chunk) => {
        if (flight.decision === "deliver") this.#pass(flight, chunk);
        else if (flight.decision === "open") flight.waiting.push(chunk);
      },
      onResponseEnd: () => {
        flight.ended = true;
        if (flight.decision === "deliver") this.#complete(attempt, flight);
      },
      onResponseError: (_, error) => {
        const wasSent = flight.controller !== null;
        this.#fail(attempt, flight, wasSent, errorText(error));
      },
    };
  }

  #verdict(
    { service }: Dispatch,
    exchange: string,
    status: number,
    headers: IncomingHttpHeaders,
  ): ServerVerdict {
    const echoed = headers[EXCHANGE];
    const mustEcho = this.#configuration?.services.get(service)?.checks.echo;
    if (echoed === undefined ? mustEcho === true : echoed !== exchange) {
      return "mismatched";
    }
    const outcome = headers[OUTCOME];
    if (outcome === "fenced") return "fenced";
    return outcome === "not-run" && status >= 400 ? "shed" : "ran";
  }

  #pass(flight: Flight, chunk: Buffer): void {
    const { controller, receiver } = flight;
    const goOn = receiver.data(chunk, () => controller?.resume());
    if (!goOn) controller?.pause();
  }

  #complete(attempt: number, flight: Flight): void {
    if (!this.#flights.delete(attempt)) return;
    flight.receiver.end();
    this.sink.push({
      kind: "attempt.completed",
      now: monotonicNow(),
      attempt,
    });
  }

  #fail(attempt: number, flight: Flight, sent: boolean, cause: string): void {
    if (!this.#flights.delete(attempt)) return;
    if (flight.decision === "deliver") flight.receiver.cut();
    flight.decision = "abort";
    this.sink.push({
      kind: "attempt.failed",
      now: monotonicNow(),
      attempt,
      sent,
      cause,
    });
  }
}

function requestHeaders(
  effect: Dispatch,
  exchange: string,
  passed: readonly string[],
): string[] {
  const epoch = Date.now();
  const headers = [
    ...passed,
    REQUEST_ID,
    effect.requestId,
    EXCHANGE,
    exchange,
    DEADLINE,
    String(Math.ceil(epoch + effect.timeout)),
  ];
  if (effect.slot === null) return headers;
  headers.push(
    SERVICE,
    effect.service,
    SLOT,
    String(effect.slot),
    TOKEN,
    String(effect.token),
    NOT_AFTER,
    String(Math.floor(epoch + effect.startWithin)),
  );
  return headers;
}
