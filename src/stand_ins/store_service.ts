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
import { readBody, readJson, sendJson, StandIn } from "./stand_in.ts";
import {
  createTopic,
  type Group,
  StoreCopies,
  type StoreState,
  type Topic,
} from "./store_copies.ts";
import { frameRecord, HEADER, OPERATOR_TOPIC, REGISTRY_TOPIC } from "./wire.ts";

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
  /**
   * Values of the header that states the era; null for one with the actual era,
   * and empty for no header.
   */
  statedEra: z.array(z.string()).nullable().default(null),
});

/** See {@linkcode storeFaultsSchema}. */
export type StoreFaults = z.infer<typeof storeFaultsSchema>;

/** A return of the store from an older copy. Durations are milliseconds. */
export const storeRestoreSchema = z.strictObject({
  /** Age of the copy when the store becomes unavailable. */
  age: z.number().nonnegative(),
  /** Time for which the store is unavailable. */
  away: z.number().nonnegative(),
  /**
   * Time after the return until operators and servers write again what was
   * lost.
   */
  rewriteAfter: z.number().nonnegative().default(250),
});

/** See {@linkcode storeRestoreSchema}. */
export type StoreRestore = z.infer<typeof storeRestoreSchema>;

/** Path of the calls that make the store return from an older copy. */
export const RESTORE_PATH = "/stand-in/restore";
/** Interval between two copies of the store, in milliseconds. */
const COPY_INTERVAL = 100;
/** Topics whose lost records their writers write again. */
const REWRITTEN_TOPICS = [OPERATOR_TOPIC, REGISTRY_TOPIC];

/** Path of the calls that set the faults. */
export const FAULTS_PATH = "/stand-in/faults";
/** Interval between checks for expired entries, in milliseconds. */
const EXPIRY_INTERVAL = 300;
/** Size of a record's length field, in bytes. */
const LENGTH_BYTES = 4;

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
  #state: StoreState = { topics: new Map(), groups: new Map() };
  #era = 1;
  /** Whether it is unavailable until it returns from a copy. */
  #isAway = false;
  readonly #copies = StoreCopies.create();
  /**
   * What operators and servers want each of their records to be, by topic and
   * key: the content that they wrote last, also if the store has lost it.
   */
  readonly #intended = new Map<string, Map<string, Buffer>>(
    REWRITTEN_TOPICS.map((name) => [name, new Map()]),
  );
  readonly #timers: NodeJS.Timeout[];
  #faults: StoreFaults = storeFaultsSchema.parse({});

  private constructor(private readonly settings: StoreServiceSettings) {
    super();
    this.#copies.add(this.#state, Date.now());
    this.#timers = [
      setInterval(() => this.#removeExpiredEntries(), EXPIRY_INTERVAL),
      setInterval(() => this.#copy(), COPY_INTERVAL),
    ];
    for (const timer of this.#timers) timer.unref();
  }

  /** Starts the stand-in and resolves when it listens. */
  static async start(settings: StoreServiceSettings): Promise<StoreService> {
    const store = new StoreService(settings);
    await store.listen(settings.listen);
    return store;
  }

  override close(): void {
    for (const timer of this.#timers) clearInterval(timer);
    super.close();
  }

  /** Sets the given faults and leaves the others as they are. */
  setFaults(faults: Partial<StoreFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /**
   * Makes the store unavailable, then lets it return from a copy. Its era is
   * then one higher. Resolves when it has returned.
   */
  async restore({ age, away, rewriteAfter }: StoreRestore): Promise<void> {
    const copiedAt = Date.now() - age;
    this.#isAway = true;
    this.#resumeAll(this.#state);
    await delay(away);
    this.#state = this.#copies.stateAt(copiedAt, Date.now());
    this.#era += 1;
    this.#isAway = false;
    const ends = new Map(
      [...this.#state.topics].map(([name, topic]) => [name, endOf(topic)]),
    );
    const era = this.#era;
    const rewrite = () => {
      if (this.#era === era && !this.#isAway) this.#rewrite(ends);
    };
    setTimeout(rewrite, rewriteAfter).unref();
  }

  #copy(): void {
    if (!this.#isAway) this.#copies.add(this.#state, Date.now());
  }

  /** Ends all long polls. */
  #resumeAll({ topics }: StoreState): void {
    for (const { waiters } of topics.values()) {
      for (const resume of waiters) resume();
    }
  }

  /**
   * Writes again what operators and servers have written and the store has lost,
   * unless they have written it since the return. `ends` are the offsets at
   * which the topics ended then.
   */
  #rewrite(ends: ReadonlyMap<string, number>): void {
    for (const [name, records] of this.#intended) {
      const topic = this.#getTopic(name);
      const end = ends.get(name) ?? 0;
      for (const [key, content] of records) {
        const { offset = -1, value } = topic.newest.get(key) ?? {};
        const intended = valueOf(content);
        const isSame = intended.equals(value ?? Buffer.alloc(0));
        if (offset < end && !isSame) this.#write(name, topic, content);
      }
      for (const resume of topic.waiters) resume();
    }
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
    if (url.pathname === RESTORE_PATH) {
      const restore = storeRestoreSchema.parse(await readJson(request));
      void this.restore(restore);
      return sendJson(response, 200, restore);
    }
    const { outage, delay: latency, statedEra } = this.#faults;
    if (latency > 0) await delay(latency);
    if (outage || this.#isAway) return void request.socket.destroy();
    response.setHeader(HEADER.era, statedEra ?? [String(this.#era)]);
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
    const name = query.get("topic") ?? "";
    const topic = this.#getTopic(name);
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
    for (const content of splitRecords(body)) this.#write(name, topic, content);
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
  #write(name: string, topic: Topic, content: Buffer): void {
    const offset = topic.first + topic.records.length;
    topic.records.push(content);
    const length = content.readUInt8(0);
    const key = content.toString("utf8", 1, 1 + length);
    const value = valueOf(content);
    this.#intended.get(name)?.set(key, content);
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
    const isLost = topic !== this.#getTopic(query.get("topic") ?? "");
    if (this.#faults.outage || this.#isAway || isLost) {
      return void response.socket?.destroy();
    }
    if (from < topic.first || from > topic.first + topic.records.length) {
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
    const group = this.#state.groups.get(name) ??
      { generation: 0, members: new Map<string, number>() } satisfies Group;
    this.#state.groups.set(name, group);
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
    const existing = this.#state.groups.get(group);
    if (existing?.members.delete(member)) existing.generation += 1;
    sendJson(response, 200, {});
  }

  /** Deletes the entries of backend servers whose heartbeats have stopped. */
  #removeExpiredEntries(): void {
    const topic = this.#state.topics.get(REGISTRY_TOPIC);
    if (topic === undefined) return;
    const oldest = Date.now() - this.settings.entryLifetime;
    for (const [key, { at }] of topic.newest) {
      if (at < oldest) {
        this.#write(REGISTRY_TOPIC, topic, frameRecord(key, "").subarray(4));
      }
    }
  }

  #getTopic(name: string): Topic {
    let topic = this.#state.topics.get(name);
    if (topic === undefined) {
      topic = createTopic();
      this.#state.topics.set(name, topic);
    }
    return topic;
  }
}

/** Returns the value in the content of a keyed record; empty for a removal. */
function valueOf(content: Buffer): Buffer {
  return content.subarray(1 + content.readUInt8(0));
}

/** Returns the offset at which a topic ends. */
function endOf({ first, records }: Topic): number {
  return first + records.length;
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
