/**
 * One backend server of a service fails part of its requests after it has begun
 * to work on them: it answers 503, signed, and does not state that it has not
 * run the request. Callers send bookings that are not idempotent.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Caller, delay, Deployment, route, runCase, TROUBLE, Upstream } from "../lib-2/deployment.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
/** Time of the traffic, in milliseconds. */
const DURATION = 9_000;
/** Time within it in which servers fail, in milliseconds. */
const FAIL_FROM = 1_500;
const FAIL_UNTIL = 7_000;
const CALM = 4_000;
/** Share of the requests that a failing server fails. */
const FAILED_SHARE = 0.4;
const WORK = 80;
const TIMEOUT = 1_500;
/** Statuses that promise that the request has not run and never will. */
const PROMISES = [408, 421, 429, 503];

const mostUsed = (upstreams) => [...upstreams].sort((a, b) => b.served - a.served)[0];

await runCase(FOLDER, async (record, state) => {
  const deployment = state.deployment = await Deployment.start({ entries: 2 });
  let startedAt = Infinity;
  /** Number of runs, by booking. */
  const runs = new Map();
  /** Ids of the requests that have run. */
  const ran = new Set();
  let received = 0;
  /** The server that fails: the one that has served most until then. */
  let failing = null;
  for (let i = 0; i < 7; i++) {
    deployment.upstreams.push(await Upstream.start(deployment, {
      service: "bookings",
      slots: 3,
      served: 0,
      onRequest: async (request, socket, upstream) => {
        const booking = request.body.toString();
        runs.set(booking, (runs.get(booking) ?? 0) + 1);
        ran.add(request.id);
        record.write("run", { id: request.id, booking, server: upstream.id });
        await delay(WORK);
        const time = Date.now() - startedAt;
        upstream.served += 1;
        if (time >= FAIL_FROM) failing ??= mostUsed(deployment.upstreams);
        const isFailed = TROUBLE && upstream === failing && time < FAIL_UNTIL &&
          (received += 1) * FAILED_SHARE % 1 < FAILED_SHARE;
        const status = isFailed ? 503 : 200;
        record.write("server answers", { id: request.id, status });
        upstream.answer(socket, request, status, isFailed ? "database is down" : `booked ${booking}`);
      },
    }));
  }
  await deployment.publish(
    [route("bookings", "bookings", { kind: "unsafe", timeout: TIMEOUT })],
    [{ name: "bookings" }],
  );
  await deployment.startAll();
  await delay(CALM);

  let count = 0;
  let answered = 0;
  const refused = [];
  let isTraffic = true;
  /** Sends a booking on a new connection, and again once after a promise. */
  async function book(index) {
    while (isTraffic) {
      const booking = `booking ${count += 1}`;
      for (let attempt = 1; attempt <= 2; attempt++) {
        const entry = deployment.entries[(index + attempt) % deployment.entries.length];
        const id = `${booking.replace(" ", "-")}-${attempt}`;
        record.write("sent", { id, vm: entry.index });
        const caller = Caller.open(entry.front);
        caller.send({ id, host: "bookings.example", path: "/bookings/new", body: booking, timeout: TIMEOUT });
        const response = await caller.wait(1, TIMEOUT + 1_000);
        caller.close();
        const status = response?.status ?? null;
        if (response !== null) answered += 1;
        record.write("answered", { id, status, hasRun: ran.has(id), notExecuted: response?.headers["x-plumloft-not-executed"] ?? null });
        if (!PROMISES.includes(status)) break;
        if (ran.has(id)) refused.push(id);
      }
      await delay(10);
    }
  }

  startedAt = Date.now();
  const callers = [];
  for (let i = 0; i < 24; i++) callers.push(book(i));
  await delay(DURATION);
  isTraffic = false;
  await Promise.all(callers);
  const twice = [...runs.values()].filter((each) => each > 1).length;
  const result = { answered, refusedThoughRun: refused.length, bookingsRunTwice: twice };
  record.write("result", result);
  console.log(JSON.stringify(result));
  if (answered === 0) throw new Error("no booking was answered");
  return refused.length > 0;
});
