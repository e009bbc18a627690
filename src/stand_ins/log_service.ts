/**
 * Stand-in of the platform's log: append-only streams with offsets, long polls,
 * limited retention, and faults that are switched while it runs.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { z } from "zod";
import { addressSchema } from "../settings/index.ts";
import { readJson, sendJson, StandIn } from "./stand_in.ts";

/** Settings of the stand-in. */
export const logServiceSchema = z.strictObject({
  listen: addressSchema,
  /** Records of each stream that are kept. */
  retention: z.number().int().positive().default(100_000),
});

/** See {@linkcode logServiceSchema}. */
export type LogServiceSettings = z.infer<typeof logServiceSchema>;

/** Faults of the stand-in; all are off at the start. */
export const logFaultsSchema = z.strictObject({
  /** It answers nothing. */
  outage: z.boolean().default(false),
  /** It takes this much longer for each call, in milliseconds. */
  delay: z.number().nonnegative().default(0),
  /** Appends whose answer is lost after they took effect. */
  loseAnswers: z.number().int().nonnegative().default(0),
  /** Records that are kept; 0 for the number in the settings. */
  retention: z.number().int().nonnegative().default(0),
});

/** See {@linkcode logFaultsSchema}. */
export type LogFaults = z.infer<typeof logFaultsSchema>;

/** Where the faults are switched. */
export const FAULTS_PATH = "/stand-in/faults";

const STREAM_PATTERN = /^\/streams\/([^/]+)\/records$/;

interface Stream {
  first: number;
  records: { offset: number; data: unknown }[];
  waiting: Set<() => void>;
}

/** See the module's comment. */
export class LogService extends StandIn {
  readonly #streams = new Map<string, Stream>();
  #faults: LogFaults = logFaultsSchema.parse({});

  private constructor(private readonly settings: LogServiceSettings) {
    super();
  }

  /** Starts the stand-in. */
  static async start(settings: LogServiceSettings): Promise<LogService> {
    const log = new LogService(settings);
    await log.listen(settings.listen);
    return log;
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://stand-in");
    if (url.pathname === FAULTS_PATH) {
      this.#faults = logFaultsSchema.parse(await readJson(request));
      sendJson(response, 200, this.#faults);
      return;
    }
    const name = STREAM_PATTERN.exec(url.pathname)?.[1];
    if (name === undefined) {
      sendJson(response, 404, { error: "expected /streams/NAME/records" });
      return;
    }
    if (this.#faults.delay > 0) await delay(this.#faults.delay);
    if (this.#faults.outage) {
      request.socket.destroy();
      return;
    }
    const stream = this.#stream(name);
    if (request.method === "POST") {
      this.#append(stream, await readJson(request), response);
      return;
    }
    await this.#read(stream, url.searchParams, response);
  }

  #append(stream: Stream, data: unknown, response: ServerResponse): void {
    const offset = stream.first + stream.records.length;
    stream.records.push({ offset, data });
    this.#expire(stream);
    for (const wake of stream.waiting) wake();
    if (this.#faults.loseAnswers > 0) {
      this.#faults.loseAnswers -= 1;
      response.socket?.destroy();
      return;
    }
    sendJson(response, 200, { offset });
  }

  async #read(
    stream: Stream,
    query: URLSearchParams,
    response: ServerResponse,
  ): Promise<void> {
    const from = Number(query.get("from") ?? 1);
    const limit = Number(query.get("limit") ?? 500);
    const wait = Number(query.get("wait") ?? 0);
    if (from >= stream.first + stream.records.length && wait > 0) {
      await this.#wait(stream, wait);
    }
    if (this.#faults.outage) {
      response.socket?.destroy();
      return;
    }
    this.#expire(stream);
    const start = Math.max(0, from - stream.first);
    const records = stream.records.slice(start, start + limit);
    const next = records.at(-1)?.offset ?? Math.max(from, stream.first) - 1;
    sendJson(response, 200, { first: stream.first, next: next + 1, records });
  }

  #wait(stream: Stream, milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        stream.waiting.delete(end);
        resolve();
      };
      const timer = setTimeout(end, milliseconds);
      stream.waiting.add(end);
    });
  }

  #expire(stream: Stream): void {
    const kept = this.#faults.retention || this.settings.retention;
    const excess = stream.records.length - kept;
    if (excess <= 0) return;
    stream.records.splice(0, excess);
    stream.first += excess;
  }

  #stream(name: string): Stream {
    const stream = this.#streams.get(name) ??
      { first: 1, records: [], waiting: new Set() };
    this.#streams.set(name, stream);
    return stream;
  }
}
