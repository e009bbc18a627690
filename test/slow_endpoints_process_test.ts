/**
 * Runs real processes with a server that sends responses without end, and with
 * callers that read slowly.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { readFileSync, writeFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { listenAt } from "../src/runtime/listen.ts";
import { parseAddress } from "../src/settings/index.ts";
import { Deployment, HOST } from "./support/deployment.ts";
import { loopbackAddress } from "./support/loopback_address.ts";

const MEGABYTE = 1_024 * 1_024;
/** Size of a response that a slow caller does not read. */
const LARGE_BODY = 24 * MEGABYTE;
/** Bound on held bytes: more than one large response, less than two. */
const MEMORY = { processMegabytes: 64, heldShare: 0.5 };
/** Bytes that endless responses send while memory is measured. */
const FLOOD_BYTES = 200 * MEGABYTE;
/** Maximum growth of the memory of the entry meanwhile. */
const MAXIMUM_GROWTH = 32 * MEGABYTE;
/** Maximum time for a condition, in milliseconds. */
const MAXIMUM_WAIT = 10_000;

/** Starts an entry and the only server of `orders`, which `respond` simulates. */
async function start(
  t: ExecutionContext,
  settings: object,
  respond: (request: IncomingMessage, response: ServerResponse) => void,
) {
  const address = loopbackAddress();
  const state = { requests: 0, sent: 0 };
  const server = createServer((request, response) => {
    state.requests += 1;
    const { socket } = request;
    socket.on("error", () => {});
    socket.once("close", () => state.sent += socket.bytesWritten);
    request.resume();
    request.once("end", () => {
      const id = request.headers["x-plumloft-request-id"] as string;
      response.setHeader("X-Plumloft-Request-Id", id);
      response.setHeader("X-Plumloft-Response-Signature", "s");
      respond(request, response);
    });
  });
  await listenAt(server, address);
  const deployment = await Deployment.start({
    entries: 1,
    servers: 1,
    settings,
    link: (_, name, to) => name === "orders-1" ? address : to,
  });
  t.teardown(() => {
    deployment.stop();
    server.close();
    server.closeAllConnections();
  });
  const [entry] = deployment.entries;
  /** Sends a request that is not idempotent. */
  const send = async (path: string, timeout = 5_000, sent = "order") => {
    const { statusCode, headers, body } = await request(
      `http://${entry.address}/orders/${path}`,
      {
        method: "POST",
        headers: {
          host: HOST,
          "x-plumloft-request-id": `r-${Math.random()}`,
          "x-plumloft-deadline-ms": String(timeout),
        },
        body: sent,
      },
    );
    await body.dump();
    return { status: statusCode, retryAfter: headers["retry-after"] };
  };
  /** Returns a metric of the entry; 0 if it is missing. */
  const metric = async (name: string) => {
    const { body } = await request(`http://${entry.admin}/metrics`);
    const line = (await body.text()).split("\n")
      .find((each) => each.startsWith(`plumloft_${name} `));
    return Number(line?.split(" ").at(-1) ?? 0);
  };
  const logged = (name: string) =>
    deployment.logOf(entry).filter(({ event, decision, message }) =>
      [event, decision, message].includes(name)
    );
  return { state, send, metric, logged, deployment, entry };
}

function sendEndlessly(response: ServerResponse, piece: Buffer): void {
  while (!response.destroyed && response.write(piece));
  if (response.destroyed) return;
  response.once("drain", () => sendEndlessly(response, piece));
}

async function waitUntil(condition: () => Promise<boolean> | boolean) {
  const end = performance.now() + MAXIMUM_WAIT;
  while (!await condition() && performance.now() < end) await delay(20);
}

test.serial("an endless response to a request that is not idempotent fails with 502, and it runs once", async (t) => {
  const settings = { responses: { maximumBodyMegabytes: 4 } };
  const { state, send, metric, logged } = await start(
    t,
    settings,
    (_, response) => sendEndlessly(response, Buffer.alloc(9_000, "x")),
  );
  t.is((await send("a")).status, 502);
  t.is(state.requests, 1);
  t.is(await metric('responses_cut_total{part="body"}'), 1);
  // Servers that fail are avoided for some time.
  let before = 0;
  let growth = 0;
  for (let i = 0; state.sent < FLOOD_BYTES && i < 2_000; i++) {
    const requests = state.requests;
    const { status } = await send("b");
    t.true(status === 502 || status === 503);
    t.true(state.requests - requests <= 1);
    if (state.requests === requests) await delay(20);
    const memory = await metric("memory_bytes");
    if (i < 8) before = memory;
    else growth = Math.max(growth, memory - before);
  }
  t.log(`sent ${state.sent / MEGABYTE} MB in ${state.requests} responses`);
  t.log(`growth: ${(growth / MEGABYTE).toFixed(1)} MB`);
  t.true(state.sent >= FLOOD_BYTES);
  t.true(growth < MAXIMUM_GROWTH);
  await waitUntil(() => logged("response.cut").length >= state.requests);
  t.is(logged("response.cut").length, state.requests);
  t.is(await metric("held_bytes"), 0);
});

test.serial("a response that drips is cut off at the deadline, and its request runs once", async (t) => {
  const { state, send, metric, logged } = await start(t, {}, (_, response) => {
    response.write("x");
    const timer = setInterval(() => response.write("x"), 20);
    response.once("close", () => clearInterval(timer));
  });
  const startedAt = performance.now();
  t.is((await send("drip", 500)).status, 504);
  t.true(performance.now() - startedAt < 2_000);
  t.is(state.requests, 1);
  await waitUntil(() => logged("response.cut").length > 0);
  t.is(logged("response.cut")[0]?.part, "body");
  t.is(await metric("held_bytes"), 0);
});

test.serial("callers that read slowly: their responses are delivered, and further requests are refused", async (t) => {
  const { state, send, metric, logged, entry } = await start(
    t,
    { memory: MEMORY },
    ({ url }, response) => {
      response.end(Buffer.alloc(url === "/orders/large" ? LARGE_BODY : 2, "x"));
    },
  );
  t.is((await send("small")).status, 200);
  const { host, port } = parseAddress(entry.address);
  const caller: Socket = connect(port, host);
  t.teardown(() => caller.destroy());
  let received = 0;
  caller.on("data", (bytes) => received += bytes.length);
  caller.pause();
  caller.write(
    `GET /orders/large HTTP/1.1\r\nHost: ${HOST}\r\n` +
      "X-Plumloft-Request-Id: large\r\n\r\n",
  );
  await waitUntil(async () => await metric("held_bytes") >= LARGE_BODY);
  t.is(await metric("held_bytes"), LARGE_BODY);
  // 24 of 32 MB are three quarters, and a request of 5 bytes exceeds them.
  const { requests } = state;
  const refused = await send("small");
  t.is(refused.status, 503);
  t.true(Number(refused.retryAfter) > 0);
  t.is(state.requests, requests);
  t.is(await metric("requests_refused_for_memory_total"), 1);
  caller.resume();
  await waitUntil(() => received > LARGE_BODY);
  t.true(received > LARGE_BODY);
  await waitUntil(async () => await metric("held_bytes") === 0);
  t.is((await send("small")).status, 200);
  await waitUntil(() => logged("memory.pressure").length === 2);
  t.deepEqual(logged("memory.pressure").map(({ isHigh }) => isHigh), [
    true,
    false,
  ]);
});

// Guards against a limit in the settings that does not reach the core.
test.serial("a request whose body exceeds what its server takes is not sent until others end", async (t) => {
  const pending: ServerResponse[] = [];
  const { state, send } = await start(
    t,
    { memory: { ...MEMORY, connectionKilobytes: 64 } },
    (_, response) => void pending.push(response),
  );
  const body = "x".repeat(2 * MEGABYTE);
  const first = send("first", 5_000, body);
  await waitUntil(() => pending.length > 0);
  t.is((await send("second", 5_000, body)).status, 503);
  t.is(state.requests, 1);
  pending[0].end("x");
  t.is((await first).status, 200);
  const third = send("third", 5_000, body);
  await waitUntil(() => pending.length > 1);
  pending[1].end("x");
  t.is((await third).status, 200);
  t.is(state.requests, 2);
});

test.serial("invalid limits on memory are refused at start, and ignored at a reload", async (t) => {
  const { send, logged, deployment, entry } = await start(
    t,
    { memory: MEMORY },
    (_, response) => response.end("ok"),
  );
  const valid = readFileSync(entry.settingsFile, "utf8");
  const invalid = valid.replace("processMegabytes: 64", "processMegabytes: 63");
  t.not(invalid, valid);
  writeFileSync(entry.settingsFile, invalid);
  entry.process.kill("SIGHUP");
  await waitUntil(() => logged("settings.reload_failed").length > 0);
  const [line] = logged("settings.reload_failed");
  t.regex(
    String(line?.cause),
    /memory\.processMegabytes: expected a number from 64 to 65536, found 63/,
  );
  t.is((await send("small")).status, 200);
  entry.process.kill("SIGKILL");
  deployment.restart(entry);
  await waitUntil(() => entry.process.exitCode !== null);
  t.true((entry.process.exitCode ?? 0) > 0);
});
