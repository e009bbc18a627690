/**
 * Stand-in for the platform's store: a log with keyed topics, conditional
 * appends, producers with epochs, and groups that distribute partitions among
 * their members. Faults can be injected while it runs.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import * as z from "zod";
import { addressSchema } from "../settings/address.ts";
import { ProducerTable } from "./producer_table.ts";
import { readBody, readJson, sendJson, StandIn } from "./stand_in.ts";
import { frameRecord, REGISTRY_TOPIC } from "./wire.ts";

/** Settings of the stand-in. Durations are milliseconds. */
export const storeServiceSchema = z.strictObject({
  listen: addressSchema,
  /** Number of partitions that a group distributes among its members. */
  partitions: z.number().int().positive().default(12),
  /**
   * Time without a heartbeat after which a backend server's entry is removed.
   */
  entryLifetime: z.number().positive().default(2_600),
});

/** See {@linkcode storeServiceSchema}. */
export type StoreServiceSettings = z.infer<typeof storeServiceSchema>;

/** Faults that can be injected; all are off initially. */
export const storeFaultsSchema = z.strictObject({
  /** Closes the connection of each call without an answer. */
  outage: z.boolean().default(false),
  /** Delay added to each call, in milliseconds. */
  delay: z.number().nonnegative().default(0),
  /** Number of upcoming appends that take effect but get no answer. */
  loseAnswers: z.number().int().nonnegative().default(0),
  /**
   * Number of newest log records kept, besides the newest record of each key.
   */
  retention: z.number().int().nonnegative().default(10_000),
});

/** See {@linkcode storeFaultsSchema}. */
export type StoreFaults = z.infer<typeof storeFaultsSchema>;

/** Path of the calls that set the faults. */
export const FAULTS_PATH = "/stand-in/faults";
/** Interval between checks for expired entries, in milliseconds. */
const EXPIRY_INTERVAL = 300;
/** Size of a record's length field, in bytes. */
const LENGTH_BYTES = 4;

interface Topic {
  /** Offset of the oldest record that is retained. */
  first: number;
  /** Contents of the retained records, oldest first. */
  records: Buffer[];
  /**
   * Newest record of each key; `at` is when it was written, in Unix
   * milliseconds.
   */
  newest: Map<string, { value: Buffer; offset: number; at: number }>;
  producers: ProducerTable;
  /** Called after each append, to end long polls. */
  waiters: Set<() => void>;
}

interface Group {
  /** Number that grows with each change of the members. */
  generation: number;
  /** When each membership expires, in Unix milliseconds, by the member's id. */
  members: Map<string, number>;
}

const joinSchema = z.object({
  group: z.string(),
  member: z.string(),
  topics: z.array(z.string()),
  timeToLive: z.number(),
  generation: z.number(),
});

const leaveSchema = z.object({ group: z.string(), member: z.string() });

/** See the module's comment. */
export class StoreService extends StandIn {
  readonly #topics = new Map<string, Topic>();
  readonly #groups = new Map<string, Group>();
  readonly #expiryTimer: NodeJS.Timeout;
  #faults: StoreFaults = storeFaultsSchema.parse({});

  private constructor(private readonly settings: StoreServiceSettings) {
    super();
    this.#expiryTimer = setInterval(
      () => this.#removeExpiredEntries(),
      EXPIRY_INTERVAL,
    );
    this.#expiryTimer.unref();
  }

  /** Starts the stand-in and resolves when it listens. */
  static async start(settings: StoreServiceSettings): Promise<StoreService> {
    const store = new StoreService(settings);
    await store.listen(settings.listen);
    return store;
  }

  override close(): void {
    clearInterval(this.#expiryTimer);
    super.close();
  }

  /** Sets the given faults and leaves the others as they are. */
  setFaults(faults: Partial<StoreFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://stand-in");
    if (url.pathname === FAULTS_PATH) {
      this.#faults = storeFaultsSchema.parse(await readJson(request));
      return sendJson(response, 200, this.#faults);
    }
    const { outage, delay: latency } = this.#faults;
    if (latency > 0) await delay(latency);
    if (outage) return void request.socket.destroy();
    const query = url.searchParams;
    switch (url.pathname) {
      case "/-/log-append":
        return this.#append(query, await readBody(request), response);
      case "/-/log-read":
        return await this.#read(query, response);
      case "/-/log-newest":
        return this.#newest(query, response);
      case "/-/log-join":
        return this.#join(joinSchema.parse(await readJson(request)), response);
      case "/-/log-leave":
        return this.#leave(
          leaveSchema.parse(await readJson(request)),
          response,
        );
      default:
        return sendJson(response, 404, { error: "no such call" });
    }
  }

  #append(
    query: URLSearchParams,
    body: Buffer,
    response: ServerResponse,
  ): void {
    const topic = this.#getTopic(query.get("topic") ?? "");
    const { producers } = topic;
    // Checked before the condition on the offset: the first execution of a
    // repeated append has already moved the end of the log.
    const repeated = producers.findRepeatedAnswer(query);
    if (repeated !== undefined) return sendJson(response, 200, repeated);
    const offset = topic.first + topic.records.length;
    const at = query.get("at");
    if (at !== null && Number(at) !== offset) {
      return sendJson(response, 412, { end: offset });
    }
    const refusal = producers.checkAppend(query);
    if (refusal !== null) return sendJson(response, 409, refusal);
    for (const content of splitRecords(body)) this.#write(topic, content);
    for (const resume of topic.waiters) resume();
    const end = topic.first + topic.records.length;
    producers.recordAppend(query, { offset, end });
    if (this.#faults.loseAnswers > 0) {
      this.#faults.loseAnswers -= 1;
      return void response.socket?.destroy();
    }
    sendJson(response, 200, { offset, end });
  }

  /** Writes a record and removes the oldest ones that exceed the retention. */
  #write(topic: Topic, content: Buffer): void {
    const offset = topic.first + topic.records.length;
    topic.records.push(content);
    const length = content.readUInt8(0);
    const key = content.toString("utf8", 1, 1 + length);
    const value = content.subarray(1 + length);
    if (value.length === 0) topic.newest.delete(key);
    else topic.newest.set(key, { value, offset, at: Date.now() });
    const excess = topic.records.length - this.#faults.retention;
    if (excess <= 0) return;
    topic.records.splice(0, excess);
    topic.first += excess;
  }

  async #read(query: URLSearchParams, response: ServerResponse): Promise<void> {
    const topic = this.#getTopic(query.get("topic") ?? "");
    const from = Number(query.get("from"));
    const wait = Number(query.get("wait_ms") ?? 0);
    if (from >= topic.first + topic.records.length && wait > 0) {
      await this.#waitForAppend(topic, wait, response);
    }
    if (this.#faults.outage) return void response.socket?.destroy();
    if (from < topic.first) {
      return sendJson(response, 410, { first: topic.first });
    }
    const offsets = Buffer.alloc(16);
    const end = topic.first + topic.records.length;
    offsets.writeBigUInt64BE(BigInt(end), 0);
    offsets.writeBigUInt64BE(BigInt(topic.first), 8);
    const records = topic.records.slice(from - topic.first);
    response.end(Buffer.concat([offsets, ...records.map(frameContent)]));
  }

  #waitForAppend(
    topic: Topic,
    milliseconds: number,
    response: ServerResponse,
  ): Promise<void> {
    return new Promise((resolve) => {
      const resume = () => {
        clearTimeout(timer);
        topic.waiters.delete(resume);
        resolve();
      };
      const timer = setTimeout(resume, milliseconds);
      topic.waiters.add(resume);
      response.once("close", resume);
    });
  }

  /** Answers with the newest record of every key, in a single page. */
  #newest(query: URLSearchParams, response: ServerResponse): void {
    const topic = this.#getTopic(query.get("topic") ?? "");
    const items = [...topic.newest].map(([key, { value, offset }]) => ({
      key,
      value: value.toString("base64"),
      offset,
    }));
    const end = topic.first + topic.records.length;
    sendJson(response, 200, { items, has_more: false, end });
  }

  #join(
    { group: name, member, topics, timeToLive }: z.infer<typeof joinSchema>,
    response: ServerResponse,
  ): void {
    const group = this.#groups.get(name) ??
      { generation: 0, members: new Map<string, number>() };
    this.#groups.set(name, group);
    const now = Date.now();
    for (const [id, expiresAt] of group.members) {
      if (expiresAt >= now) continue;
      group.members.delete(id);
      group.generation += 1;
    }
    if (!group.members.has(member)) group.generation += 1;
    group.members.set(member, now + timeToLive);
    const ids = [...group.members.keys()];
    const parts: [string, number, number][] = [];
    for (let part = 0; part < this.settings.partitions; part++) {
      if (ids[part % ids.length] === member) parts.push([topics[0], part, 0]);
    }
    sendJson(response, 200, { generation: group.generation, parts });
  }

  #leave(
    { group, member }: z.infer<typeof leaveSchema>,
    response: ServerResponse,
  ): void {
    const existing = this.#groups.get(group);
    if (existing?.members.delete(member)) existing.generation += 1;
    sendJson(response, 200, {});
  }

  /** Deletes the entries of backend servers whose heartbeats have stopped. */
  #removeExpiredEntries(): void {
    const topic = this.#topics.get(REGISTRY_TOPIC);
    if (topic === undefined) return;
    const oldest = Date.now() - this.settings.entryLifetime;
    for (const [key, { at }] of topic.newest) {
      if (at < oldest) this.#write(topic, frameRecord(key, "").subarray(4));
    }
  }

  #getTopic(name: string): Topic {
    let topic = this.#topics.get(name);
    if (topic === undefined) {
      topic = {
        first: 0,
        records: [],
        newest: new Map(),
        producers: ProducerTable.create(),
        waiters: new Set(),
      };
      this.#topics.set(name, topic);
    }
    return topic;
  }
}

/** Splits the body of an append into the contents of its records. */
function splitRecords(body: Buffer): Buffer[] {
  const records: Buffer[] = [];
  let position = 0;
  while (position < body.length) {
    const start = position + LENGTH_BYTES;
    const end = start + body.readUInt32BE(position);
    records.push(body.subarray(start, end));
    position = end;
  }
  return records;
}

/** Prepends the length field to the content of a record. */
function frameContent(content: Buffer): Buffer {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}
