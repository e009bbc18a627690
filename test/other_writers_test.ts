/**
 * Entries of another writer in the registry of a whole system under load: broken
 * ones over those of servers in use, and some under names of their own.
 *
 * @module
 */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { encodeKeyedRecord } from "../platform/log_records.ts";
import { StoreClient } from "../platform/store_client.ts";
import { StoreError } from "../platform/store_error.ts";
import { isServed, runLoad } from "../src/load/index.ts";
import { Deployment, type Member } from "./support/deployment.ts";

/** Time for which entries are broken again and again, in milliseconds: longer than
 * a read of the registry takes to come, shorter than a server is used without an entry. */
const BROKEN_TIME = 600;
/** Pause between two such writes, far below the stand-ins' heartbeat: nearly every
 * read finds the broken entry. */
const WRITE_PAUSE = 30;
/** Time between two rounds: each begins and ends. */
const ROUND = BROKEN_TIME + 1_500;

const BROKEN = [
  "{",
  "\u0000\u0001",
  "[".repeat(30_000),
  JSON.stringify({ service: "stock", address: "127.0.0.1:1" }),
  JSON.stringify({
    service: "stock",
    address: "nowhere",
    zone: "a",
    slots: 1e9,
    state: "resting",
  }),
];

/**
 * Writes entries; the next write follows soon. One that gets no answer may have been
 * done: the store of a machine with many more busy processes than cores stands still
 * for longer than a call may take. Paused for 0.9 s it ended this test, not the
 * system that is tested.
 */
async function write(
  client: StoreClient,
  records: readonly Buffer[],
): Promise<void> {
  try {
    await client.append("keyed.servers", records, {});
  } catch (error) {
    const isUnanswered = error instanceof StoreError &&
      error.failure === "unanswered";
    if (!isUnanswered) throw error;
  }
}

/** The value of a counter of an entry, over all labels. */
async function counted(entry: Member, name: string): Promise<number> {
  const { body } = await request(`http://${entry.admin}/metrics`);
  const lines = (await body.text()).split("\n");
  return lines.filter((line) => line.startsWith(`plumloft_${name}`))
    .reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
}

/** What the log says of a record, in order. */
function told(lines: Record<string, unknown>[], key: string): unknown[] {
  return lines.filter((each) =>
    String(each.message).startsWith("record.") && each.key === key
  ).map(({ message }) => message);
}

test.serial("other writers: broken entries cost no request, and a line when they begin and end", async (t) => {
  const deployment = await Deployment.start({ entries: 2, servers: 2 });
  t.teardown(() => deployment.stop());
  const client = StoreClient.create(deployment.store);
  t.teardown(() => client.close());
  const change = { seconds: ROUND * (BROKEN.length + 2) / 1_000, pause: 10 };
  const load = Promise.all([
    runLoad(deployment.plan("stock", change)),
    runLoad(deployment.plan("orders", change)),
  ]);
  for (const text of BROKEN) {
    const value = Buffer.from(text);
    const records = ["stock-1", "orders-1", "other-1"].map((key) =>
      encodeKeyedRecord({ key, value })
    );
    const end = performance.now() + BROKEN_TIME;
    while (performance.now() < end) {
      await write(client, records);
      await delay(WRITE_PAUSE);
    }
    await delay(ROUND - BROKEN_TIME);
  }
  const calls = (await load).flatMap((each) => each.calls);
  t.deepEqual(calls.filter((call) => !isServed(call)), []);
  const holder = await deployment.holder();
  for (const entry of deployment.entries) {
    const lines = deployment.logOf(entry);
    t.false(lines.some((each) => each.message === "server.removed"));
    // The store drops an entry that nobody writes again: that ends it too.
    t.true(told(lines, "other-1").length <= 2);
    for (const key of ["stock-1", "orders-1"]) {
      const messages = told(lines, key);
      const inTurn = messages.map((_, i) =>
        i % 2 === 0 ? "record.unreadable" : "record.readable_again"
      );
      t.deepEqual(messages, inTurn);
      if (entry !== holder) continue;
      t.true(messages.length > 0, "no read found a broken entry");
      t.is(messages.length % 2, 0, "the last one has ended");
    }
  }
  const counts = await Promise.all(
    deployment.entries.map((each) => counted(each, "records_unreadable_total")),
  );
  t.true(counts.some((count) => count > 0), counts.join());
});
