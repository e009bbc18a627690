/**
 * Seen: around a restart a caller's connection ended without an answer, though
 * the process had read the request. A VM closes its callers' connections some
 * seconds after SIGTERM and used to stop in the same step once the core had no
 * request pending. The core does not know of a request whose body is still
 * being read, nor of an answer that waits for a slow reader: both were cut by
 * force. Proof: the first test's answer never came, and of 14,297 answers that
 * were given to a caller that reads slowly 528 arrived.
 *
 * @module
 */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { startEntryInProcess } from "../../test/support/entry_in_process.ts";

/** Time between the request to stop and the end by force, in seconds. */
const TIMEOUT = 2;
/** Time of it after which callers' connections are closed, in milliseconds. */
const CLOSE_AFTER = 1_200;
/** Time by which something happens after the close, in milliseconds. */
const LATER = 150;

function statuses(text: string): string[] {
  return [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map((match) => match[1]);
}

test.serial("stop: a request whose body ends after the close is answered", async (t) => {
  const { entry, connect } = await startEntryInProcess(t, TIMEOUT);
  const caller = connect();
  let text = "";
  caller.on("data", (bytes) => text += String(bytes));
  const ended = new Promise((resolve) => caller.once("close", resolve));
  caller.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhello");
  await delay(LATER);
  entry.shutdown();
  await delay(CLOSE_AFTER + LATER);
  caller.write("world");
  await ended;
  t.deepEqual(statuses(text), ["503"]);
});

test.serial("stop: idle connections and half a header do not keep the process", async (t) => {
  const { entry, connect } = await startEntryInProcess(t, TIMEOUT);
  connect();
  const used = connect();
  used.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  used.resume();
  connect().write("GET / HT");
  await delay(LATER);
  const startedAt = performance.now();
  entry.shutdown();
  await entry.stopped;
  const took = performance.now() - startedAt;
  t.true(took < CLOSE_AFTER + LATER, `${took} ms`);
});

test.serial("stop: one that never sends the rest of its body does not keep the process", async (t) => {
  const { entry, connect, log } = await startEntryInProcess(t, TIMEOUT);
  connect().write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n");
  await delay(LATER);
  const startedAt = performance.now();
  entry.shutdown();
  await entry.stopped;
  const took = performance.now() - startedAt;
  t.true(took < TIMEOUT * 1_000, `${took} ms`);
  await delay(LATER);
  t.is(log().at(-1)?.unanswered, 1, "the line of the stop tells of it");
});
