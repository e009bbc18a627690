import {
  decodeQuarantine,
  encodeQuarantine,
} from "../platform/quarantine_codec.ts";
import type { CrashRecord } from "../src/core/quarantine/index.ts";
import { createServer, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { encode } from "cbor-x";
import fc from "fast-check";
import {
  PlatformHeaderCodec,
  PlatformOrderSender,
  PlatformStore,
} from "../platform/index.ts";
import { decodeHolder, decodeRecords } from "../platform/assignment_codec.ts";
import {
  decodeConfiguration,
  encodeConfiguration,
} from "../platform/configuration_codec.ts";
import {
  decodeKeyedRecord,
  decodePage,
  encodeKeyedRecord,
} from "../platform/log_records.ts";
import { decodeServer } from "../platform/registry_codec.ts";
import { StoreClient } from "../platform/store_client.ts";
import { StoreError } from "../platform/store_error.ts";
import { readDeclaration } from "../src/settings/index.ts";
import { Fleet } from "../src/core/fleet/index.ts";
import {
  coversAllKeys,
  KEY_COUNT,
  KeyLoads,
  leaseTimingSchema,
  predecessorGrantsEnd,
  TermHolder,
} from "../src/core/keyspace/index.ts";
import { siteConfiguration } from "../src/core/declaration/index.ts";
import {
  BackendService,
  backendServiceSchema,
  StoreService,
  storeServiceSchema,
} from "../src/stand_ins/index.ts";

const TOPIC = "keyed.test";

async function startStore(t: ExecutionContext): Promise<StoreService> {
  const settings = storeServiceSchema.parse({ listen: "127.0.0.1:0" });
  const store = await StoreService.start(settings);
  t.teardown(() => store.close());
  return store;
}

function createClient(t: ExecutionContext, address: string): StoreClient {
  const client = StoreClient.create(address);
  t.teardown(() => client.close());
  return client;
}

const record = (key: string, value: string) =>
  encodeKeyedRecord({ key, value: Buffer.from(value) });

/** Returns how a call to the store failed, or `none` if it succeeded. */
async function failureOf(call: Promise<unknown>): Promise<string> {
  try {
    await call;
    return "none";
  } catch (error) {
    if (!(error instanceof StoreError)) throw error;
    return error.failure;
  }
}

test("records: encoded records decode to the same records", (t) => {
  const keyed = fc.record({
    key: fc.string({ maxLength: 40 }),
    value: fc.uint8Array({ minLength: 1, maxLength: 200 }),
  });
  fc.assert(
    fc.property(fc.array(keyed, { maxLength: 10 }), (records) => {
      const offsets = Buffer.alloc(16);
      offsets.writeBigUInt64BE(77n);
      const body = Buffer.concat([
        offsets,
        ...records.map(({ key, value }) =>
          encodeKeyedRecord({ key, value: Buffer.from(value) })
        ),
      ]);
      const page = decodePage(body);
      t.is(page.end, 77);
      const decoded = page.records.map(decodeKeyedRecord);
      t.deepEqual(
        decoded.map(({ key, value }) => [key, [...value!]]),
        records.map(({ key, value }) => [key, [...value]]),
      );
    }),
    { numRuns: 100, seed: 1 },
  );
});

test("records: rejects a truncated page", (t) => {
  const page = Buffer.concat([Buffer.alloc(16), record("k", "value")]);
  t.throws(() => decodePage(page.subarray(0, page.length - 1)));
  t.throws(() => decodePage(Buffer.alloc(3)));
});

test("configuration: the encoded document decodes to the declared configuration", (t) => {
  for (
    const [name, site] of [["co-operative", "thessalia"], [
      "lektorat",
      "osrednja",
    ]]
  ) {
    const declaration = readDeclaration(`examples/${name}`);
    const configuration = siteConfiguration(declaration, site, 12);
    t.deepEqual(
      decodeConfiguration(encodeConfiguration(configuration)),
      configuration,
    );
  }
});

test("configuration: the warm-up applies if both values are valid, and is ignored otherwise", (t) => {
  const decode = (fields: object) => {
    const service = { name: "s", max_connections: 9, ...fields };
    const limits = {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeout: 1,
      idleTimeout: 1,
    };
    const document = { version: 1, routes: [], services: [service], limits };
    const value = Buffer.from(JSON.stringify(document));
    return decodeConfiguration(value).services[0].warmUp;
  };
  const warmUp = { duration: 3_000, requestsPerSecond: 4.3 };
  t.deepEqual(decode({ warmUpSeconds: 3, warmUpRate: 4.3 }), warmUp);
  const ignored = [
    {},
    { warmUpSeconds: 3 },
    { warmUpRate: 4.3 },
    { warmUpSeconds: 3, warmUpRate: 0 },
    { warmUpSeconds: -1, warmUpRate: 4.3 },
    { warmUpSeconds: "3", warmUpRate: 4.3 },
    { warmUpSeconds: 3, warmUpRate: null },
  ];
  for (const fields of ignored) t.is(decode(fields), undefined);
});

test("evacuations: the feed reports evacuated and restored zones, whatever their records contain", async (t) => {
  const topic = "keyed.op";
  const { store, client } = await startStoreWith(t, topic, []);
  const zones = (read: Awaited<ReturnType<typeof store.readAll>>) =>
    read.events.flatMap((each) =>
      each.kind === "evacuations.read" ? [each.read] : []
    );
  await store.evacuate("north", true);
  const malformedRecord = rawRecord(
    Buffer.from("evacuate/south"),
    Buffer.from([0xff, 0x00]),
  );
  await client.append(topic, [malformedRecord], {});
  const first = await store.readAll("configuration");
  t.deepEqual(zones(first), [{
    position: 2,
    evacuated: ["north", "south"],
    restored: [],
    isWhole: true,
  }]);
  t.deepEqual(first.faults, []);
  await store.evacuate("north", true);
  await store.evacuate("north", false);
  await store.evacuate("unknown", false);
  const next = await store.readFrom("configuration", first.next, 0);
  t.deepEqual(zones(next), [{
    position: 5,
    evacuated: [],
    restored: ["north", "unknown"],
    isWhole: false,
  }]);
  t.deepEqual(zones(await store.readAll("configuration"))[0].evacuated, [
    "south",
  ]);
});

test("configuration: accepts traffic splits and unknown fields, rejects invalid documents", (t) => {
  const route = {
    name: "r",
    host: "h",
    pathPrefix: "/a/",
    kind: "safe",
    timeout: 500,
    targetLatency: 200,
    maximumAttempts: 2,
    priority: 0,
    destinations: [{ service: "a", weight: 90 }, { service: "b", weight: 10 }],
  };
  const encodeDocument = (overrides: object) =>
    Buffer.from(JSON.stringify({
      version: 3,
      colour: "red",
      limits: {
        maximumHeaderBytes: 1_000,
        maximumBodyBytes: 1_000,
        headerTimeout: 1_000,
        idleTimeout: 1_000,
      },
      services: [{ name: "a", max_connections: 10, keyed: true, tls: false }],
      routes: [{ ...route, ...overrides }],
    }));
  t.snapshot(decodeConfiguration(encodeDocument({})));
  t.throws(() => decodeConfiguration(encodeDocument({ kind: "odd" })), {
    any: true,
  });
  t.throws(() => decodeConfiguration(encodeDocument({ pathPrefix: "a" })), {
    any: true,
  });
  t.throws(() => decodeConfiguration(encodeDocument({ destinations: null })), {
    any: true,
  });
  t.throws(() => decodeConfiguration(Buffer.from("{")), { any: true });
});

test("registry: decodes a valid entry and rejects an invalid one", (t) => {
  const entry = {
    service: "a",
    address: "10.0.0.1:80",
    zone: "z",
    slots: 3,
    state: "draining",
    sequence: 4,
  };
  t.snapshot(decodeServer("i-1", Buffer.from(JSON.stringify(entry))));
  const invalid = Buffer.from(JSON.stringify({ ...entry, slots: "many" }));
  t.throws(() => decodeServer("i-1", invalid), { any: true });
});

test("registry: an entry has the incarnation of its server, or 0 if absent", (t) => {
  const decode = (overrides: object) => {
    const entry = {
      service: "a",
      address: "10.0.0.1:80",
      zone: "z",
      slots: 3,
      state: "ready",
      ...overrides,
    };
    return decodeServer("i-1", Buffer.from(JSON.stringify(entry))).incarnation;
  };
  t.is(decode({ born: 1_790_000_000_000 }), 1_790_000_000_000);
  t.is(decode({}), 0);
  for (const born of [1.5, -1, "1790000000000", null, [], {}, true]) {
    t.throws(() => decode({ born }), { any: true }, String(born));
  }
});

test("headers: decodes responses and caller requests", (t) => {
  const codec = PlatformHeaderCodec.create();
  const read = (status: number, headers: Record<string, string>) =>
    codec.readResponse(status, headers, "r-1");
  const ownId = { "x-plumloft-request-id": "r-1" };
  t.snapshot({
    genuine: read(200, {
      ...ownId,
      "x-plumloft-response-signature": "s",
      "x-plumloft-server-load": "2,1,3",
    }),
    unsigned: read(200, ownId),
    another: read(200, {
      "x-plumloft-request-id": "r-2",
      "x-plumloft-response-signature": "s",
    }),
    shed: read(503, { ...ownId, "x-plumloft-not-executed": "1" }),
    misdirected: read(421, { "x-plumloft-instance-id": "i-2" }),
    brokenLoad: read(200, { ...ownId, "x-plumloft-server-load": "2,x" })
      .statement.load,
  });
  const rateLimit = (value: string, name = "server-limit") =>
    read(200, { ...ownId, [name]: value }).statement.rateLimit;
  // The prefixed name is accepted as a fallback.
  t.is(rateLimit("6", "x-plumloft-server-limit"), 6);
  t.deepEqual(
    ["6", "1.8", "0.05", "1000000"].map((value) => rateLimit(value)),
    [
      6,
      1.8,
      0.05,
      1_000_000,
    ],
  );
  for (
    const value of ["", "0", "0.0", "-1", "1e3", "x", "2, 3", "9".repeat(400)]
  ) {
    t.is(rateLimit(value), undefined, value);
  }
  t.snapshot(codec.readRequest({
    ...ownId,
    "x-plumloft-deadline-ms": "500",
    "x-plumloft-shard-key": "-3",
  }));
});

test("store client: conditional appends, fencing, retries and lost responses", async (t) => {
  const store = await startStore(t);
  const client = createClient(t, store.address);
  const append = (epoch: number, sequence: number, at?: number) =>
    client.append(TOPIC, [record("k", `${epoch}.${sequence}`)], {
      at,
      producer: { name: "p", epoch, sequence },
    });
  t.is(await append(5, 0, 0), 1);
  t.is(await failureOf(append(5, 1, 9)), "conflict");
  t.is(await failureOf(append(4, 0)), "conflict");
  store.setFaults({ loseAnswers: 1 });
  t.is(await failureOf(append(5, 1)), "unanswered");
  t.is(await failureOf(append(5, 3)), "conflict");
  t.is(await append(6, 0), 3);
  const { items, end } = await client.readNewest(TOPIC);
  t.deepEqual(items.map(({ value }) => value.toString()), ["6.0"]);
  t.is(end, 3);
});

// Guards against two holders of one term. All VMs append as the same producer,
// and the store detects duplicates of an append by its term and sequence. It
// repeats its first response to a duplicate even if the condition no longer
// holds: it responds to a claim that is sent twice with 200 both times. If two
// VMs that have read the same record used the same sequence, both would hold
// the term. They would number their grants alike, so two servers could own the
// same keys with the same token.
test("platform store: only one VM claims a term, even if two have read the same record", async (t) => {
  const store = await startStore(t);
  const [first, second] = ["vm-1", "vm-2"].map((vm) => {
    const each = PlatformStore.create(store.address, vm, vm);
    t.teardown(() => each.close());
    return each;
  });
  const claim = { term: 1, era: 1, isUnconfirmed: false };
  await first.claimTerm(claim, 0);
  t.is(await failureOf(second.claimTerm(claim, 0)), "conflict");
  const { records } = await second.readRecords();
  t.is(records.end, 1);
});

test("store client: a read waits for new records and fails if records have expired", async (t) => {
  const store = await startStore(t);
  const client = createClient(t, store.address);
  const pendingRead = client.read(TOPIC, 0, 2_000);
  await client.append(TOPIC, [record("k", "1")], {});
  t.is((await pendingRead).records.length, 1);
  store.setFaults({ retention: 1 });
  await client.append(TOPIC, [record("k", "2"), record("k", "3")], {});
  t.is(await failureOf(client.read(TOPIC, 0)), "expired");
});

test("store client: a waiting read fails when the store is lost", async (t) => {
  const store = await startStore(t);
  const client = createClient(t, store.address);
  await client.readNewest(TOPIC);
  const pendingRead = failureOf(client.read(TOPIC, 0, 20_000));
  store.setFaults({ outage: true });
  t.is(await failureOf(client.readNewest(TOPIC)), "unanswered");
  t.is(await pendingRead, "unanswered");
});

test("store client: a call fails as unanswered if the store accepts it but sends no response", async (t) => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    // The client resets the connection after its timeout.
    socket.on("error", () => {});
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const { port } = server.address() as { port: number };
  const client = createClient(t, `127.0.0.1:${port}`);
  const startedAt = performance.now();
  t.is(await failureOf(client.readNewest(TOPIC)), "unanswered");
  t.true(performance.now() - startedAt < 5_000);
});

test("store: skips and reports records that can't be decoded", async (t) => {
  const service = await startStore(t);
  const client = createClient(t, service.address);
  const store = PlatformStore.create(service.address, "vm", "vm");
  t.teardown(() => store.close());
  const entry = {
    service: "a",
    address: "h:1",
    zone: "z",
    slots: 3,
    state: "ready",
  };
  await client.append("keyed.servers", [
    record("i-1", JSON.stringify(entry)),
    record("i-2", "{broken"),
  ], {});
  const all = await store.readServers(null);
  t.snapshot({ ...all, faults: all.faults.length });
  await client.append("keyed.servers", [
    encodeKeyedRecord({ key: "i-1", value: null }),
  ], {});
  t.snapshot(await store.readServers(all.position));
});

/**
 * Generates values that other clients may write: arbitrary bytes, texts and
 * values, and variants of `valid` with a field that is missing, of another type
 * or out of range, a truncated encoding, or a changed byte.
 */
function hostileValue(
  valid: object,
  encode: (value: unknown) => Buffer,
): fc.Arbitrary<Buffer> {
  const field = fc.constantFrom(...Object.keys(valid));
  const invalidField = fc.oneof(
    fc.jsonValue(),
    fc.double(),
    fc.constantFrom(0, -1, 1.5, 1e12, 2 ** 60, "", "x".repeat(300), "h:99999"),
  );
  const text = (value: string) => Buffer.from(value);
  const validValue = encode(valid);
  return fc.oneof(
    fc.uint8Array({ maxLength: 64 }).map((bytes) => Buffer.from(bytes)),
    fc.json().map(text),
    fc.jsonValue().map(encode),
    fc.constantFrom("[", '{"a":', '"', "1e999", "null").map((piece) =>
      text(piece.repeat(14_000))
    ),
    fc.constant(Buffer.alloc(70_000, "7")),
    fc.constant(Buffer.from([0x9a, 0xff, 0xff, 0xff, 0xff])),
    field.map((name) => encode({ ...valid, [name]: undefined })),
    fc.tuple(field, invalidField).map(([name, value]) =>
      encode({ ...valid, [name]: value })
    ),
    fc.nat(validValue.length - 1).map((length) =>
      validValue.subarray(0, length)
    ),
    fc.tuple(fc.nat(validValue.length - 1), fc.nat(255)).map(([at, byte]) => {
      const bytes = Buffer.from(validValue);
      bytes[at] = byte;
      return bytes;
    }),
  );
}

/** Encodes a record whose key may contain any bytes. */
function rawRecord(key: Uint8Array, value: Buffer): Buffer {
  const content = Buffer.concat([Buffer.from([key.length]), key, value]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

const encodeJson = (value: unknown) => Buffer.from(JSON.stringify(value));
const encodeCbor = (value: unknown) => Buffer.from(encode(value));

const VALID_ENTRY = {
  born: 1_790_000_000_000,
  service: "a",
  address: "10.0.0.1:80",
  zone: "z",
  slots: 3,
  state: "ready",
  sequence: 4,
  warmupLeft: 900,
};

/**
 * Starts a store with `records` in `topic`; returns a platform store and a
 * client.
 */
async function startStoreWith(
  t: ExecutionContext,
  topic: string,
  records: readonly Buffer[],
) {
  const service = await startStore(t);
  const client = createClient(t, service.address);
  const store = PlatformStore.create(service.address, "vm", "vm");
  t.teardown(() => store.close());
  await client.append(topic, records, {});
  return { store, client };
}

test("hostile entries: each is rejected or usable, and the others are read", async (t) => {
  const { store, client } = await startStoreWith(t, "keyed.servers", []);
  const hostile = fc.record({
    key: fc.oneof(
      fc.constantFrom("h-1", "h-2", "", " ", "a\nb", "\u00e9", "h".repeat(255))
        .map((key) => Buffer.from(key)),
      fc.uint8Array({ maxLength: 8 }).map((key) => Buffer.from(key)),
    ),
    value: hostileValue(VALID_ENTRY, encodeJson),
  });
  let position = 0;
  await fc.assert(
    fc.asyncProperty(
      fc.array(hostile, { maxLength: 6 }),
      async (hostileRecords) => {
        const good = ["g-1", "g-2"].map((key) =>
          rawRecord(Buffer.from(key), encodeJson(VALID_ENTRY))
        );
        const bad = hostileRecords.map(({ key, value }) =>
          rawRecord(key, value)
        );
        await client.append(
          "keyed.servers",
          [good[0], ...bad, good[1]],
          {},
        );
        for (const from of [position, null]) {
          const read = await store.readServers(from);
          const ids = read.entries.map(({ id }) => id);
          t.true(ids.includes("g-1") && ids.includes("g-2"));
          for (const { id, address, slots } of read.entries) {
            t.regex(id, /^[\x21-\x7e]+$/);
            t.regex(address, /^[\w.-]+:[1-9]\d*$/);
            t.true(Number.isInteger(slots) && slots >= 1 && slots <= 4_096);
          }
          for (const { reason } of read.faults) t.true(reason.length <= 160);
          position = read.position;
        }
      },
    ),
    { numRuns: 150, seed: 3 },
  );
});

test("hostile configurations and holders: none fails a read, and valid ones are read", async (t) => {
  const limits = {
    maximumHeaderBytes: 1,
    maximumBodyBytes: 1,
    headerTimeout: 1,
    idleTimeout: 1,
  };
  const configuration = { version: 4, routes: [], services: [], limits };
  const holder = { term: 3, vm: "vm", address: "10.0.0.1:80", fitness: 1 };
  const feeds = [
    {
      feed: "configuration" as const,
      topic: "keyed.op",
      key: "config",
      good: encodeJson(configuration),
      hostile: hostileValue(configuration, encodeJson),
    },
    {
      feed: "holder" as const,
      topic: "keyed.holder",
      key: "holder",
      good: encodeCbor(holder),
      hostile: hostileValue(holder, encodeCbor),
    },
  ];
  for (const { feed, topic, key, good, hostile } of feeds) {
    const { store, client } = await startStoreWith(t, topic, []);
    let next = 0;
    await fc.assert(
      fc.asyncProperty(hostile, fc.boolean(), async (value, isFeedKey) => {
        const name = Buffer.from(isFeedKey ? key : "other");
        const records = [
          rawRecord(Buffer.from([0xff, 0xfe]), value),
          rawRecord(name, value),
        ];
        if (!isFeedKey) records.push(rawRecord(Buffer.from(key), good));
        await client.append(topic, records, {});
        for (
          const read of [
            await store.readFrom(feed, next, 0),
            await store.readAll(feed),
          ]
        ) {
          const kinds = read.events.map(({ kind }) => kind);
          const holderReads = kinds.filter((kind) =>
            kind === "holder.read"
          ).length;
          // A complete read of the feed is reported even if it contains no
          // valid record.
          t.is(holderReads, feed === "holder" && read.isWhole ? 1 : 0);
          const zones = kinds.filter((kind) => kind === "evacuations.read");
          t.is(zones.length, feed === "configuration" ? 1 : 0);
          const others = kinds.length - holderReads - zones.length;
          if (!isFeedKey) t.is(others, 1);
          for (const each of read.events) {
            if (each.kind !== "holder.announced") continue;
            t.regex(each.holder.address, /^[\w.-]+:[1-9]\d*$/);
            t.true(each.holder.term <= 2 ** 48);
          }
          next = read.next;
        }
      }),
      { numRuns: 150, seed: 4 },
    );
  }
});

const ALL_KEYS = { first: 0, last: KEY_COUNT - 1 };
const VALID_ASSIGNMENT = {
  service: "g",
  term: 7,
  version: 2,
  ranges: [{ ...ALL_KEYS, server: "i-1", address: "h:1", isOpen: true }],
};

test("hostile assignments: an unreadable one covers all keys without a server, and others are read", async (t) => {
  const good = rawRecord(
    Buffer.from("service/g"),
    encodeCbor(VALID_ASSIGNMENT),
  );
  const termRecord = rawRecord(
    Buffer.from("term"),
    encodeCbor({ term: 9, vm: "v" }),
  );
  const { store, client } = await startStoreWith(t, "keyed.ownership", [
    good,
    termRecord,
  ]);
  const valid = { ...VALID_ASSIGNMENT, service: "h" };
  await fc.assert(
    fc.asyncProperty(
      hostileValue(valid, encodeCbor),
      async (value) => {
        const key = Buffer.from("service/h");
        await client.append("keyed.ownership", [rawRecord(key, value)], {});
        const { records, isTermKnown, faults } = await store.readRecords();
        t.true(isTermKnown);
        t.true(records.term >= 9 && records.term <= 2 ** 48);
        const byService = new Map(
          records.assignments.map((each) => [each.service, each]),
        );
        t.deepEqual(byService.get("g"), { ...VALID_ASSIGNMENT, era: null });
        if (value.length === 0) return;
        const other = byService.get("h")!;
        t.true(coversAllKeys(other.ranges));
        if (faults.length === 0) return;
        t.deepEqual(other.ranges, [
          { ...ALL_KEYS, server: "", address: null, isOpen: false },
        ]);
        t.is(other.term, 0);
      },
    ),
    { numRuns: 150, seed: 5 },
  );
});

test("hostile records: a record of several megabytes is not parsed", (t) => {
  const long = Buffer.alloc(5_000_000, "[");
  t.throws(() => decodeServer("i-1", long), { message: /bytes/ });
  t.throws(() => decodeConfiguration(long), { message: /bytes/ });
  t.throws(() => decodeHolder(long), { message: /bytes/ });
  const items = [{ key: "service/s", value: long }];
  const [fault] = decodeRecords(items, 1).faults;
  t.regex(fault.reason, /bytes/);
});

// No VM claims a term while the newest one is unknown.
test("hostile terms: an unreadable term record leaves the term unknown", async (t) => {
  const good = rawRecord(
    Buffer.from("service/g"),
    encodeCbor(VALID_ASSIGNMENT),
  );
  const { store, client } = await startStoreWith(t, "keyed.ownership", [good]);
  const term = { term: 9, vm: "v" };
  await fc.assert(
    fc.asyncProperty(hostileValue(term, encodeCbor), async (value) => {
      const record = rawRecord(Buffer.from("term"), value);
      await client.append("keyed.ownership", [record], {});
      const { records, isTermKnown, faults } = await store.readRecords();
      t.deepEqual(records.assignments, [{ ...VALID_ASSIGNMENT, era: null }]);
      t.is(isTermKnown, faults.length === 0);
    }),
    { numRuns: 150, seed: 6 },
  );
});

test("hostile assignments: keys of an unreadable assignment are granted after all older grants have expired", async (t) => {
  const unreadable = rawRecord(Buffer.from("service/s"), Buffer.from("{"));
  const { store } = await startStoreWith(t, "keyed.ownership", [unreadable]);
  const { records } = await store.readRecords();
  const timing = leaseTimingSchema.parse({});
  const fleet = Fleet.create();
  fleet.apply(
    [decodeServer("i-1", encodeJson({ ...VALID_ENTRY, service: "s" }))],
    [],
    0,
  );
  let orders = 0;
  const holder = TermHolder.create(
    5,
    records.assignments,
    timing,
    fleet,
    KeyLoads.create(),
    () => orders += 1,
    0,
  );
  const grants: number[] = [];
  const released: number[] = [];
  for (let now = 0; now < 30_000; now += 50) {
    for (const effect of holder.advance(["s"], now, Infinity, 0, true)) {
      if (effect.kind === "assignments.write") holder.recordWriter.confirm();
      if (effect.kind === "order.release") released.push(now);
      if (effect.kind !== "order.grant") continue;
      grants.push(now);
      const outcome = { kind: "accepted" as const, handover: null };
      holder.onOrderEnded(effect.order, outcome, now);
    }
  }
  t.true(grants.length > 0);
  t.true(grants[0] >= predecessorGrantsEnd(0, timing), String(grants[0]));
  t.deepEqual(released, []);
});

test("store: one of two concurrent publications is rejected", async (t) => {
  const service = await startStore(t);
  const store = PlatformStore.create(service.address, "op", "op");
  t.teardown(() => store.close());
  const declaration = readDeclaration("examples/lektorat");
  const publish = async (version: number, end: number) => {
    try {
      await store.publish(
        siteConfiguration(declaration, "osrednja", version),
        end,
      );
      return "accepted";
    } catch (error) {
      return store.isConflict(error) ? "refused" : "failed";
    }
  };
  const { configuration, end } = await store.readConfiguration();
  t.is(configuration, null);
  const results = await Promise.all([publish(1, end), publish(2, end)]);
  t.deepEqual([...results].sort(), ["accepted", "refused"]);
  t.not((await store.readConfiguration()).configuration, null);
});

// Guards against two servers that own keys with the same token. If an order
// names keys and a token but no server, the renewal for a server that has ended
// is accepted by the server that has replaced it at its address and has not
// seen a token yet.
test("orders: a server rejects orders for a previous server at its address", async (t) => {
  const store = await startStore(t);
  const settings = backendServiceSchema.parse({
    id: "second-run",
    service: "stock",
    listen: "127.0.0.1:0",
    store: store.address,
    keyed: true,
  });
  const server = await BackendService.start(settings);
  t.teardown(() => server.close());
  const orders = PlatformOrderSender.create();
  t.teardown(() => orders.close());
  const { address } = server;
  const keys = {
    order: 1,
    service: "stock",
    first: 0,
    last: 9,
    address,
    mayConnect: true,
    relay: null,
  };
  const grant = { ...keys, kind: "order.grant", token: 5 } as const;
  const leaseTerms = { hold: 1_000, handover: null };
  const release = { ...keys, kind: "order.release", token: 4 } as const;
  const kinds: string[] = [];
  for (const id of ["first-run", "second-run"]) {
    const recipient = { server: id };
    const granted = await orders.grant(
      { ...grant, ...leaseTerms, ...recipient },
      500,
    );
    const released = await orders.release({ ...release, ...recipient }, 500);
    kinds.push(granted.kind, released.kind);
  }
  t.deepEqual(kinds, ["misdirected", "misdirected", "accepted", "accepted"]);
});

test("orders: an order that may not connect uses an open connection or is withheld", async (t) => {
  const store = await startStore(t);
  const settings = backendServiceSchema.parse({
    id: "server",
    service: "stock",
    listen: "127.0.0.1:0",
    store: store.address,
    keyed: true,
  });
  const server = await BackendService.start(settings);
  t.teardown(() => server.close());
  const orders = PlatformOrderSender.create();
  t.teardown(() => orders.close());
  const kinds: string[] = [];
  for (const mayConnect of [false, true, false]) {
    const outcome = await orders.grant({
      kind: "order.grant",
      order: 1,
      service: "stock",
      server: "server",
      address: server.address,
      first: 0,
      last: 9,
      token: 1,
      mayConnect,
      relay: null,
      hold: 1_000,
      handover: null,
    }, 500);
    kinds.push(outcome.kind);
  }
  t.deepEqual(kinds, ["withheld", "accepted", "accepted"]);
});

test("quarantine: a record is read with its age, even if the reader's clock is behind", (t) => {
  const record: CrashRecord = {
    request: "AbCdEfGhIjKlMnOp",
    target: "h.example/x",
    round: 1,
    runs: ["s-1#1"],
    excused: ["s-2#1", "s-3#7"],
    age: 500,
    isHeld: true,
  };
  const read = (writtenAt: number, now: number) => {
    const frame = encodeQuarantine("quarantine", [record], writtenAt);
    const { key, value } = decodeKeyedRecord(frame.subarray(4));
    t.is(key, "quarantine");
    return decodeQuarantine(value!, now);
  };
  t.deepEqual(read(1_000, 3_000), [{ ...record, age: 2_500 }]);
  t.deepEqual(read(3_000, 1_000), [record]);
  const damaged = Buffer.from("not a record");
  t.throws(() => decodeQuarantine(damaged, 0));
});

// Guards against answers of different eras that are used together, and against
// an era that is not acceptable.
test("store era: a new era, and one that cannot be used, are reported", async (t) => {
  const store = await startStore(t);
  const client = createClient(t, store.address);
  const eras: number[] = [];
  const ignored: unknown[] = [];
  client.era.onChange((era) => eras.push(era));
  client.era.onIgnored((each) => ignored.push(each));
  const read = async (statedEra: string[] | null) => {
    store.setFaults({ statedEra });
    return await client.readNewest(TOPIC).then(
      () => "used",
      (error: StoreError) => `${error.failure}: ${error.message}`,
    );
  };
  const outcomes: string[] = [];
  for (
    const stated of [
      ["3"],
      ["3"],
      ["4"],
      ["4"],
      ["x"],
      [""],
      ["-5"],
      ["4.5"],
      ["1e3"],
      ["99999999999999999999"],
      ["4", "4"],
      ["2"],
      ["100000"],
      [],
      ["6"],
      ["6"],
    ]
  ) {
    outcomes.push(`${stated.join(" and ")} ${await read(stated)}`);
  }
  const address = store.address;
  t.deepEqual(eras, [3, 4, 6]);
  t.snapshot(outcomes.map((each) => each.replaceAll(address, "ADDRESS")));
  t.snapshot(ignored);
});

test("store era: what a call has written in another era is not confirmed", async (t) => {
  const store = await startStore(t);
  const client = createClient(t, store.address);
  await client.append(TOPIC, [record("k", "1")], {});
  await store.restore({ age: 0, away: 0, rewriteAfter: 10 });
  t.is(
    await failureOf(client.append(TOPIC, [record("k", "2")], {})),
    "restored",
  );
  await client.append(TOPIC, [record("k", "3")], {});
});

test("store era: a long poll ends when the store returns from a copy", async (t) => {
  const store = await startStore(t);
  const client = createClient(t, store.address);
  await client.append(TOPIC, [record("k", "1")], {});
  const poll = failureOf(client.read(TOPIC, 1, 20_000));
  client.era.learn(2);
  t.is(await poll, "unanswered");
});

test("stand-in store: it returns from a copy, and lost entries are written again", async (t) => {
  const store = await startStore(t);
  const client = createClient(t, store.address);
  const append = (topic: string, key: string) =>
    client.append(topic, [record(key, "1")], {});
  await append(TOPIC, "old");
  await new Promise((next) => setTimeout(next, 250));
  for (const topic of [TOPIC, "keyed.op", "keyed.servers"]) {
    await append(topic, "lost");
  }
  await store.restore({ age: 100, away: 50, rewriteAfter: 50 });
  client.era.learn(2);
  const keys = async (topic: string) =>
    (await client.readNewest(topic)).items.map(({ key }) => key);
  t.deepEqual(await keys(TOPIC), ["old"]);
  t.deepEqual(await keys("keyed.op"), []);
  t.is(await failureOf(client.read(TOPIC, 2)), "expired");
  await new Promise((next) => setTimeout(next, 120));
  t.deepEqual(await keys("keyed.op"), ["lost"]);
  t.deepEqual(await keys("keyed.servers"), ["lost"]);
  t.deepEqual(await keys(TOPIC), ["old"]);
});
