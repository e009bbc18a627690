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
import { isServed, runLoad } from "../src/load/index.ts";
import { Deployment, type Member } from "./support/deployment.ts";

/** Time between two rounds of broken entries, in milliseconds: longer than the
 * stand-ins' heartbeat and a read, so that each round begins and ends. */
const ROUND = 1_200;

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

/** The value of a counter of an entry, over all labels. */
async function counted(entry: Member, name: string): Promise<number> {
  const { body } = await request(`http://${entry.admin}/metrics`);
  const lines = (await body.text()).split("\n");
  return lines.filter((line) => line.startsWith(`plumloft_${name}`))
    .reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
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
    await client.append("keyed.servers", records, {});
    await delay(ROUND);
  }
  const calls = (await load).flatMap((each) => each.calls);
  t.deepEqual(calls.filter((call) => !isServed(call)), []);
  for (const entry of deployment.entries) {
    const lines = deployment.logOf(entry);
    const of = (message: string, key: string) =>
      lines.filter((each) => each.message === message && each.key === key);
    t.true(of("record.unreadable", "other-1").length <= 1);
    for (const key of ["stock-1", "orders-1"]) {
      const begun = of("record.unreadable", key).length;
      t.true(begun <= BROKEN.length);
      t.is(of("record.readable_again", key).length, begun);
    }
    t.false(lines.some((each) => each.message === "server.removed"));
  }
  const counts = await Promise.all(
    deployment.entries.map((each) => counted(each, "records_unreadable_total")),
  );
  t.true(counts.some((count) => count > 0), counts.join());
});
