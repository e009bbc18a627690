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
/** Time for which a process is kept from its loop, in milliseconds. */
const BUSY_TIME = 700;
/** Time by which something happens after the close, in milliseconds. */
const LATER = 150;

function statuses(text: string): string[] {
  return [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map((match) => match[1]);
}

/** Watches how late this process's loop runs; the function tells by how many
 * milliseconds it was at worst since. */
function watchLateness(): () => number {
  const pause = 10;
  let lookedAt = performance.now();
  let worst = 0;
  const timer = setInterval(() => {
    const now = performance.now();
    worst = Math.max(worst, now - lookedAt - pause);
    lookedAt = now;
  }, pause);
  return () => {
    clearInterval(timer);
    return Math.max(worst, performance.now() - lookedAt - pause);
  };
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
  const lateness = watchLateness();
  const startedAt = performance.now();
  entry.shutdown();
  await entry.stopped;
  const took = performance.now() - startedAt;
  const late = lateness();
  t.log(`stopped after ${took.toFixed(0)} ms, loop late by ${late.toFixed(0)}`);
  t.true(took < TIMEOUT * 1_000, `${took} ms, loop late by ${late} ms`);
  await delay(LATER);
  t.is(log().at(-1)?.unanswered, 1, "the line of the stop tells of it");
});

// Seen: a read that its caller sent 3.601 s after SIGTERM, on a connection kept
// from before, ran at its server and got no answer. Its bytes lay unread on a
// connection that was closed in that moment, and were still passed on while other
// requests kept the process. caller_server_test ("crosses the close") shows that
// turn of the loop; this is the whole process with nothing else in flight.
test.serial("stop: a request that meets the close is answered or never taken", async (t) => {
  const { entry, connect, log } = await startEntryInProcess(t, TIMEOUT);
  let texts = "";
  const callers = Array.from({ length: 100 }, () => connect());
  const ended = callers.map((caller) =>
    new Promise((resolve) => caller.once("close", resolve))
  );
  for (const caller of callers) {
    caller.on("data", (bytes) => texts += String(bytes));
    caller.on("error", () => {});
    caller.write("GET /kept HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  await delay(LATER);
  entry.shutdown();
  await delay(CLOSE_AFTER - LATER);
  for (const caller of callers) {
    await delay(2);
    if (caller.writable) caller.write("GET /met HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  await Promise.all([...ended, entry.stopped]);
  await delay(LATER);
  const taken = log().filter(({ target }) => target !== undefined);
  const met = taken.filter(({ target }) => target === "/met").length;
  t.true(met > 0 && met < callers.length, `${met}`);
  t.is(statuses(texts).length, taken.length);
});

/** Keeps this process from its loop for some milliseconds. */
function block(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

// Seen: a request that was taken 3.2 s after SIGTERM ran at its server and got no
// answer; the process stopped 5.76 s after the signal, as it must. Requests that come
// so late are turned away by now, but the times of a shutdown counted from when the
// process saw the signal. One that is busy then takes requests for so much longer,
// and is ended by force before its own end.
test.serial("stop: its time counts from the signal, which a busy process sees late", async (t) => {
  const { entry, connect } = await startEntryInProcess(t, TIMEOUT);
  connect().write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n");
  await delay(LATER);
  process.once("SIGTERM", () => entry.shutdown());
  const startedAt = performance.now();
  process.kill(process.pid, "SIGTERM");
  block(BUSY_TIME);
  await entry.stopped;
  const took = performance.now() - startedAt;
  t.true(took < TIMEOUT * 1_000, `${took} ms`);
});
