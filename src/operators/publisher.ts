/**
 * Publishes configurations through the platform's log.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { errorText, type Log, StepError } from "../adapters/index.ts";
import {
  type AcceptedConfiguration,
  type Configuration,
  type Ledger,
  LedgerReader,
  type LogRecord,
  recordSchema,
} from "../core/index.ts";

/** A publication that the log shows. */
export interface Publication {
  revision: number;
  operator: string;
  publishedAt: number;
  accepted: boolean;
  why: string;
}

/** What came of a publication. */
export interface PublishResult {
  accepted: boolean;
  /** Offset of the record. */
  revision: number;
  /** Why it was refused. */
  why: string;
  /** What is in force now. */
  inForce: AcceptedConfiguration;
}

/** Pause before the log is asked again, in milliseconds. */
const RETRY_PAUSE = 250;

/** Reads and writes the configuration in the log. */
export class Publisher {
  readonly #reader = LedgerReader.create();
  readonly #history: Publication[] = [];
  readonly #outcomes = new Map<string, Publication>();

  private constructor(private readonly log: Log) {}

  /** A publisher to `log`. */
  static create(log: Log): Publisher {
    return new Publisher(log);
  }

  /** Reads to the end of the log and returns what is in force. */
  async read(): Promise<Ledger> {
    while (true) {
      const page = await this.log.read(this.#reader.position, false);
      const records = new Map(page.entries.map((each) => [
        each.offset,
        recordSchema.safeParse(each.data),
      ]));
      const outcomes = this.#reader.read(page.entries, page.first, page.next);
      for (const outcome of outcomes) {
        const record = records.get(outcome.offset)?.data;
        if (record?.kind === "configuration.published") {
          this.#note(outcome.offset, record, outcome.verdict);
        }
      }
      if (page.entries.length === 0) break;
    }
    if (!this.#reader.complete) {
      throw StepError.create(
        "read configuration",
        "log",
        "early records have expired and no checkpoint covers them",
      );
    }
    return this.#reader.ledger;
  }

  /** The publications that the log still holds, oldest first. */
  get history(): readonly Publication[] {
    return this.#history;
  }

  /**
   * Publishes a configuration that was edited from revision `basedOn`. Returns
   * only after the record was read back. Throws {@linkcode StepError} when it
   * cannot be told within `timeout` milliseconds what came of it.
   */
  async publish(
    configuration: Configuration,
    operator: string,
    basedOn: number,
    timeout: number,
  ): Promise<PublishResult> {
    const id = randomUUID();
    const end = Date.now() + timeout;
    const record: LogRecord = {
      kind: "configuration.published",
      id,
      operator,
      basedOn,
      publishedAt: Date.now(),
      configuration,
    };
    let cause = "";
    while (Date.now() < end) {
      try {
        await this.log.append(record);
      } catch (error) {
        // The record may stand in the log all the same: reading on will show.
        cause = errorText(error);
      }
      const result = await this.#find(id, end);
      if (result !== null) return result;
      await delay(RETRY_PAUSE);
    }
    throw StepError.create("publish", "log", `no answer in time: ${cause}`);
  }

  /** What the log says of a publication; null when it is not there. */
  async #find(id: string, end: number): Promise<PublishResult | null> {
    while (Date.now() < end) {
      try {
        const { accepted } = await this.read();
        const found = this.#outcomes.get(id);
        if (found === undefined) return null;
        const { revision, why } = found;
        return { accepted: found.accepted, revision, why, inForce: accepted };
      } catch {
        await delay(RETRY_PAUSE);
      }
    }
    return null;
  }

  #note(
    revision: number,
    record: Extract<LogRecord, { kind: "configuration.published" }>,
    verdict: { accepted: boolean; reason: string },
  ): void {
    const publication = {
      revision,
      operator: record.operator,
      publishedAt: record.publishedAt,
      accepted: verdict.accepted,
      why: verdict.reason,
    };
    this.#history.push(publication);
    // An append that was written twice counts by its first record.
    const known = this.#outcomes.get(record.id);
    if (known?.accepted !== true) this.#outcomes.set(record.id, publication);
  }
}
