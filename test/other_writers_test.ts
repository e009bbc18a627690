/**
 * Another client writes to the registry while a system is under load. It
 * overwrites the entries of servers in use with invalid ones, and adds invalid
 * entries under other ids.
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
import { type DeployedProcess, Deployment } from "./support/deployment.ts";

/**
 * Time for which invalid entries are written, in milliseconds. It is longer
 * than the interval between two reads of the registry, and shorter than the
 * time for which a server is used without a valid entry.
 */
const WRITE_DURATION = 600;
/**
 * Interval between two writes, in milliseconds. It is much shorter than the
 * heartbeat interval of the stand-ins, so that nearly every read returns the
 * invalid entry.
 */
const WRITE_INTERVAL = 30;
/**
 * Time between the starts of two rounds, in milliseconds. Servers repair their
 * entries at the end of each.
 */
const ROUND_DURATION = WRITE_DURATION + 1_500;

const INVALID_VALUES = [
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
 * Writes entries. Ignores a call that gets no answer, since it may have taken
 * effect and the next write follows soon. If a machine has many more busy
 * processes than cores, the store may be delayed for longer than the timeout of
 * a call. A delay of 0.9 s made this test fail although the system under test
 * worked.
 */
async function appendRecords(
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

/** Returns the value of a counter of an entry, summed over all labels. */
async function readCounter(
  entry: DeployedProcess,
  name: string,
): Promise<number> {
  const { body } = await request(`http://${entry.admin}/metrics`);
  const lines = (await body.text()).split("\n");
  return lines.filter((line) => line.startsWith(`plumloft_${name}`))
    .reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
}

/** Returns the names of the log lines about a record, in order. */
function recordMessages(
  lines: Record<string, unknown>[],
  key: string,
): unknown[] {
  return lines.filter((each) =>
    String(each.message).startsWith("record.") && each.key === key
  ).map(({ message }) => message);
}

test.serial("other writers: invalid entries fail no request, and are logged when they appear and disappear", async (t) => {
  const deployment = await Deployment.start({ entries: 2, servers: 2 });
  t.teardown(() => deployment.stop());
  const client = StoreClient.create(deployment.store);
  t.teardown(() => client.close());
  const overrides = {
    seconds: ROUND_DURATION * (INVALID_VALUES.length + 2) / 1_000,
    pause: 10,
  };
  const load = Promise.all([
    runLoad(deployment.plan("stock", overrides)),
    runLoad(deployment.plan("orders", overrides)),
  ]);
  for (const text of INVALID_VALUES) {
    const value = Buffer.from(text);
    const records = ["stock-1", "orders-1", "other-1"].map((key) =>
      encodeKeyedRecord({ key, value })
    );
    const end = performance.now() + WRITE_DURATION;
    while (performance.now() < end) {
      await appendRecords(client, records);
      await delay(WRITE_INTERVAL);
    }
    await delay(ROUND_DURATION - WRITE_DURATION);
  }
  const calls = (await load).flatMap((each) => each.calls);
  t.deepEqual(calls.filter((call) => !isServed(call)), []);
  const holder = await deployment.holder();
  for (const entry of deployment.entries) {
    const lines = deployment.logOf(entry);
    t.false(lines.some((each) => each.message === "server.removed"));
    // At most one line when the entry becomes unreadable, and one when the
    // store removes it because it is not renewed.
    t.true(recordMessages(lines, "other-1").length <= 2);
    for (const key of ["stock-1", "orders-1"]) {
      const messages = recordMessages(lines, key);
      const alternating = messages.map((_, i) =>
        i % 2 === 0 ? "record.unreadable" : "record.readable_again"
      );
      t.deepEqual(messages, alternating);
      if (entry !== holder) continue;
      t.true(messages.length > 0, "no read returned an invalid entry");
      t.is(
        messages.length % 2,
        0,
        "the last invalid entry was not followed by a valid one",
      );
    }
  }
  const counts = await Promise.all(
    deployment.entries.map((each) =>
      readCounter(each, "records_unreadable_total")
    ),
  );
  t.true(counts.some((count) => count > 0), counts.join());
});
