/**
 * The platform's log over HTTP: long polls for records, appends.
 *
 * @module
 */
import { Agent, request } from "undici";
import { z } from "zod";
import type { LogEntry, LogRecord } from "../core/index.ts";
import { errorText, StepError } from "../errors/index.ts";

/** Time that the log may hold a long poll, in milliseconds. */
const POLL_WAIT = 2_000;
/** Time in which an answer must come beyond that. */
const ANSWER_TIMEOUT = 2_000;
/** Records of one read at most. */
const READ_LIMIT = 500;

const readSchema = z.object({
  first: z.number().int().nonnegative(),
  next: z.number().int().nonnegative(),
  records: z.array(
    z.object({ offset: z.number().int().positive(), data: z.unknown() }),
  ),
});

const appendSchema = z.object({ offset: z.number().int().positive() });

/** What one read returned. */
export interface LogPage {
  entries: LogEntry[];
  first: number;
  next: number;
}

/** One stream of an append-only log service. */
export abstract class Log {
  /**
   * Records from `offset` on. Waits for one, if there is none yet, for a while.
   * Throws {@linkcode StepError}.
   */
  abstract read(offset: number, wait: boolean): Promise<LogPage>;

  /**
   * Appends a record. Throws {@linkcode StepError}; the record may stand in the
   * log all the same.
   */
  abstract append(record: LogRecord): Promise<number>;

  /** Gives up what is under way and closes all connections. */
  abstract close(): void;
}

/** The log service's HTTP interface. */
export class HttpLog extends Log {
  readonly #agent = new Agent({ connections: 8, connect: { timeout: 1_000 } });

  private constructor(private readonly url: string) {
    super();
  }

  /** The stream `stream` of the service at `url`. */
  static create(url: string, stream: string): HttpLog {
    return new HttpLog(`${url.replace(/\/$/, "")}/streams/${stream}/records`);
  }

  override async read(offset: number, wait: boolean): Promise<LogPage> {
    const held = wait ? POLL_WAIT : 0;
    const query = `from=${offset}&wait=${held}&limit=${READ_LIMIT}`;
    const page = await this.#call(
      "read log",
      readSchema,
      `${this.url}?${query}`,
      {
        method: "GET",
        headersTimeout: held + ANSWER_TIMEOUT,
      },
    );
    const entries = page.records.map(({ offset, data }) => ({ offset, data }));
    return { entries, first: page.first, next: page.next };
  }

  override async append(record: LogRecord): Promise<number> {
    const answer = await this.#call("append to log", appendSchema, this.url, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(record),
      headersTimeout: ANSWER_TIMEOUT,
    });
    return answer.offset;
  }

  override close(): void {
    void this.#agent.destroy();
  }

  async #call<T>(
    step: string,
    schema: z.ZodType<T>,
    url: string,
    options: NonNullable<Parameters<typeof request>[1]>,
  ): Promise<T> {
    try {
      const { statusCode, body } = await request(url, {
        ...options,
        bodyTimeout: ANSWER_TIMEOUT,
        dispatcher: this.#agent,
      });
      const text = await body.text();
      if (statusCode !== 200) {
        throw new Error(`expected status 200, found ${statusCode}: ${text}`);
      }
      return schema.parse(JSON.parse(text));
    } catch (error) {
      throw StepError.create(step, this.url, errorText(error), error as Error);
    }
  }
}
