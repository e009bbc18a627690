/**
 * Guards against connections that end without a response around a restart,
 * although the process had read the request. A VM closes its callers'
 * connections some seconds after SIGTERM, and used to exit in the same step if
 * the core had no pending request. The core does not know of a request whose
 * body is still being read, nor of a response that waits for a slow reader:
 * both were cut off. The first test then received no response, and of 14,297
 * responses to a slow caller 528 arrived.
 *
 * @module
 */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { startEntryInProcess } from "../../test/support/entry_in_process.ts";

/** Time between the shutdown signal and the forced termination, in seconds. */
const SHUTDOWN_TIMEOUT = 2;
/** Time after which callers' connections are closed, in milliseconds. */
const CLOSE_AFTER = 1_200;
/** Time for which the event loop is blocked, in milliseconds. */
const BUSY_TIME = 700;
/**
 * Time by which the event loop is repeatedly late, in milliseconds: more than
 * the process leaves between its own stop and the timeout.
 */
const LATE_TIME = 400;
/** Maximum time between two steps during a shutdown, in milliseconds. */
const MAXIMUM_STEP_INTERVAL = 50;
/** Time for bytes to be processed, in milliseconds. */
const SETTLE_TIME = 150;

function statuses(text: string): string[] {
  return [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map((match) => match[1]);
}

/**
 * Measures the delay of the event loop. The returned function stops the
 * measurement and returns the maximum delay in milliseconds.
 */
function measureLateness(): () => number {
  const interval = 10;
  let measuredAt = performance.now();
  let maximum = 0;
  const timer = setInterval(() => {
    const now = performance.now();
    maximum = Math.max(maximum, now - measuredAt - interval);
    measuredAt = now;
  }, interval);
  return () => {
    clearInterval(timer);
    return Math.max(maximum, performance.now() - measuredAt - interval);
  };
}

test.serial("stop: responds to a request whose body ends after the close", async (t) => {
  const { entry, connect } = await startEntryInProcess(t, SHUTDOWN_TIMEOUT);
  const caller = connect();
  let text = "";
  caller.on("data", (bytes) => text += String(bytes));
  const ended = new Promise((resolve) => caller.once("close", resolve));
  caller.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhello");
  await delay(SETTLE_TIME);
  entry.shutdown();
  await delay(CLOSE_AFTER + SETTLE_TIME);
  caller.write("world");
  await ended;
  t.deepEqual(statuses(text), ["503"]);
});

test.serial("stop: idle connections and partial headers do not delay the exit", async (t) => {
  const { entry, connect } = await startEntryInProcess(t, SHUTDOWN_TIMEOUT);
  connect();
  const used = connect();
  used.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  used.resume();
  connect().write("GET / HT");
  await delay(SETTLE_TIME);
  const startedAt = performance.now();
  entry.shutdown();
  await entry.stopped;
  const took = performance.now() - startedAt;
  t.true(took < CLOSE_AFTER + SETTLE_TIME, `${took} ms`);
});

test.serial("stop: a caller that never sends the rest of its body does not delay the exit beyond the timeout", async (t) => {
  const { entry, connect, log } = await startEntryInProcess(
    t,
    SHUTDOWN_TIMEOUT,
  );
  connect().write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n");
  await delay(SETTLE_TIME);
  const lateness = measureLateness();
  const startedAt = performance.now();
  entry.shutdown();
  await entry.stopped;
  const took = performance.now() - startedAt;
  const late = lateness();
  t.log(`stopped after ${took.toFixed(0)} ms, loop late by ${late.toFixed(0)}`);
  t.true(
    took < SHUTDOWN_TIMEOUT * 1_000,
    `${took} ms, loop late by ${late} ms`,
  );
  await delay(SETTLE_TIME);
  t.is(log().at(-1)?.unanswered, 1, "the last log line reports it");
});

// Guards against losing a request that arrives at the close. A request sent
// 3.601 s after SIGTERM on an idle connection ran at its server and got no
// response. Its bytes were unread when the connection was closed, and were
// still forwarded while other requests kept the process alive.
// caller_server_test ("crosses the close") covers that turn of the loop; this
// test covers the whole process with nothing else in flight.
test.serial("stop: a request that arrives at the close is either answered or not accepted", async (t) => {
  const { entry, connect, log } = await startEntryInProcess(
    t,
    SHUTDOWN_TIMEOUT,
  );
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
  await delay(SETTLE_TIME);
  entry.shutdown();
  await delay(CLOSE_AFTER - SETTLE_TIME);
  for (const caller of callers) {
    await delay(2);
    if (caller.writable) caller.write("GET /met HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  await Promise.all([...ended, entry.stopped]);
  await delay(SETTLE_TIME);
  const accepted = log().filter(({ target }) => target !== undefined);
  const acceptedAtClose =
    accepted.filter(({ target }) => target === "/met").length;
  t.true(
    acceptedAtClose > 0 && acceptedAtClose < callers.length,
    `${acceptedAtClose}`,
  );
  t.is(statuses(texts).length, accepted.length);
});

/** Blocks the event loop for some milliseconds. */
function blockEventLoop(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

// Guards against a shutdown timeout that starts late. A request that was
// accepted 3.2 s after SIGTERM ran at its server and got no response; the
// process exited 5.76 s after the signal, as required. Requests that arrive
// this late are rejected, but the times of a shutdown must not count from when
// the process handles the signal: a process that is busy at that time would
// accept requests for that much longer, and would be terminated by force before
// it exits by itself.
test.serial("stop: the timeout counts from the signal even if the event loop is blocked", async (t) => {
  const { entry, connect } = await startEntryInProcess(t, SHUTDOWN_TIMEOUT);
  connect().write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n");
  await delay(SETTLE_TIME);
  process.once("SIGTERM", () => entry.shutdown());
  const startedAt = performance.now();
  process.kill(process.pid, "SIGTERM");
  blockEventLoop(BUSY_TIME);
  await entry.stopped;
  const took = performance.now() - startedAt;
  t.true(took < SHUTDOWN_TIMEOUT * 1_000, `${took} ms`);
});

// Guards against a forced stop that comes after the timeout. The step that was
// due 0.25 s before it was late by 0.35 s, as others had been before.
test.serial("stop: a process whose event loop is blocked repeatedly stops within the timeout", async (t) => {
  const { entry, connect, log } = await startEntryInProcess(
    t,
    SHUTDOWN_TIMEOUT,
  );
  connect().write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n");
  await delay(SETTLE_TIME);
  const startedAt = performance.now();
  entry.shutdown();
  for (const at of [400, 1_650]) {
    setTimeout(() => blockEventLoop(LATE_TIME), at);
  }
  await entry.stopped;
  const took = performance.now() - startedAt;
  t.true(took < SHUTDOWN_TIMEOUT * 1_000, `${took} ms`);
  const finished = log().find((each) => each.message === "shutdown.finished");
  t.true(Number(finished?.lateness) >= LATE_TIME - MAXIMUM_STEP_INTERVAL);
  // The timer that blocks the loop a second time.
  await delay(CLOSE_AFTER);
});
