/**
 * Another client writes odd entries to the registry, all at once, which stay
 * there while servers and entries join and the store returns.
 *
 * @module
 */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { encodeKeyedRecord } from "../platform/log_records.ts";
import { StoreClient } from "../platform/store_client.ts";
import { StoreError } from "../platform/store_error.ts";
import { isServed, runLoad } from "../src/load/index.ts";
import { Deployment } from "./support/deployment.ts";

/** Duration of each load, in seconds. */
const LOAD_DURATION = 2;
/** Interval between two rounds of writes, in milliseconds. */
const WRITE_INTERVAL = 300;
/** Callers of each service: so many that all servers are needed. */
const CALLERS = 16;
/** Time for which the store is away, in milliseconds. */
const AWAY = 1_500;
/** Part of the requests that must be served at any time. */
const MINIMUM_SHARE = 0.9;

/** Returns the text of an entry with replaced fields, which may be no JSON. */
function entryText(fields: Record<string, string>): string {
  const all = {
    service: '"orders"',
    address: '"127.0.0.1:9"',
    zone: '"a"',
    slots: "3",
    state: '"ready"',
    born: "1",
    ...fields,
  };
  const pairs = Object.entries(all).map(([name, text]) => `"${name}":${text}`);
  return `{${pairs.join()}}`;
}

function nested(depth: number): string {
  return "[".repeat(depth) + "]".repeat(depth);
}

const ODD_NUMBERS = ["1e400", "-1e400", "1e308", "9007199254740993", "0.5"];
const ODD_NUMBER_FIELDS = ["born", "slots", "warmupLeft", "sequence"];
const ODD_PORTS = ["0", "65536", "99999", "-1", "1e3", "4294967297", ""];

/** Values of entries that cannot be used. */
const ODD_VALUES = [
  ...[1_000, 10_000, 30_000, 400_000].map(nested),
  ...[1_000, 30_000].map((depth) => entryText({ slots: nested(depth) })),
  ...[1_000, 30_000].map((depth) => "[".repeat(depth)),
  ...ODD_NUMBER_FIELDS.flatMap((name) =>
    ODD_NUMBERS.filter(() => name !== "sequence")
      .map((text) => entryText({ [name]: `-${text}`.replace("--", "-") }))
  ),
  ...ODD_PORTS.map((port) => entryText({ address: `"127.0.0.1:${port}"` })),
  entryText({ address: '":1"' }),
  entryText({ address: `"${"a".repeat(60_000)}:1"` }),
  entryText({ service: `"${"a".repeat(900_000)}"` }),
  entryText({ state: '{"__proto__":{}}' }),
  "\0",
];

/** Values with an odd field that nothing uses. */
const UNUSED_FIELDS = [
  ...[1_000, 30_000].map((depth) => ({ extra: nested(depth) })),
  ...ODD_NUMBERS.map((sequence) => ({ sequence })),
];

/** Keys of the first odd entries. */
const KEYS = ["__proto__", "é", "a b", "a".repeat(255)];

function oddRecord(key: string, text: string): Buffer {
  return encodeKeyedRecord({ key, value: Buffer.from(text) });
}

/** Appends a record. Ignores a call that gets no answer: the store is away. */
async function appendRecord(
  client: StoreClient,
  record: Buffer,
): Promise<void> {
  try {
    await client.append("keyed.servers", [record], {});
  } catch (error) {
    if (!(error instanceof StoreError)) throw error;
  }
}

// Guards against an entry that ends the processes that read it, or keeps them
// from reading the others.
test.serial("odd entries, processes: they keep no entry from using new servers, also if it starts later or the store returns", async (t) => {
  const deployment = await Deployment.start({ entries: 3, servers: 2 });
  t.teardown(() => deployment.stop());
  const client = StoreClient.create(deployment.store);
  t.teardown(() => client.close());
  const records = [
    ...ODD_VALUES.map((text, i) => oddRecord(KEYS[i] ?? `odd-${i}`, text)),
    ...UNUSED_FIELDS.map((fields, i) =>
      oddRecord(`unused-${i}`, entryText({ ...fields, service: '"other"' }))
    ),
  ];
  let isWriting = true;
  t.teardown(() => isWriting = false);
  // The store removes entries that are not renewed.
  const writer = (async () => {
    while (isWriting) {
      for (const record of records) await appendRecord(client, record);
      await delay(WRITE_INTERVAL);
    }
  })();
  const knows = async (id: string) => {
    await deployment.waitUntil(({ servers }) =>
      servers.some((each) => each.id === id)
    );
  };
  const shares: number[] = [];
  const load = async () => {
    const overrides = { seconds: LOAD_DURATION, callers: CALLERS, pause: 10 };
    const results = await Promise.all([
      runLoad(deployment.plan("stock", { ...overrides, method: "PUT" })),
      runLoad(deployment.plan("orders", overrides)),
    ]);
    const calls = results.flatMap((each) => each.calls);
    shares.push(calls.filter(isServed).length / calls.length);
  };
  deployment.servers.push(deployment.startServer("orders", "orders-8"));
  await knows("orders-8");
  await load();
  deployment.entries.push(deployment.startEntry("entry-4"));
  await knows("orders-8");
  await load();
  await deployment.restoreStore(0, AWAY);
  deployment.servers.push(deployment.startServer("orders", "orders-9"));
  await knows("orders-9");
  await load();
  isWriting = false;
  await writer;
  t.log({ entries: records.length, shares });
  for (const { name, process: { exitCode } } of deployment.entries) {
    t.is(exitCode, null, name);
  }
  for (const entry of deployment.entries) {
    const status = await deployment.status(entry);
    const odd = status!.servers.map(({ id }) => id)
      .filter((id) => id.startsWith("odd-") || KEYS.includes(id));
    t.deepEqual(odd, []);
    const lines = deployment.logOf(entry);
    t.false(lines.some(({ message }) => message === "peer.cut_off"));
  }
  const unreadable = deployment.entries.flatMap((each) =>
    deployment.logOf(each)
  ).filter(({ message }) => message === "record.unreadable")
    .map(({ key }) => key);
  t.is(new Set(unreadable).size, ODD_VALUES.length, "all odd entries are read");
  for (const share of shares) t.true(share >= MINIMUM_SHARE, `${share}`);
  const used = deployment.servers.slice(-2)
    .map((each) => deployment.runs(each).length > 0);
  t.deepEqual(used, [true, true]);
});
