/**
 * Runs real processes with a server that sends bytes without end, as fast as
 * they are read.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import test, { type ExecutionContext } from "ava";
import { isServed, runLoad } from "../src/load/index.ts";
import { Deployment } from "./support/deployment.ts";
import { loopbackAddress } from "./support/loopback_address.ts";

const PROGRAM = fileURLToPath(
  new URL("support/endless_server.ts", import.meta.url),
);
/** Duration of the load, in seconds. */
const LOAD_DURATION = 4;
/** Callers of the server that sends without end, and of the others. */
const FAULTY_CALLERS = 12;
const SOUND_CALLERS = 4;
/** Memory of a VM that is set in its settings, in megabytes. */
const MEMORY = 350;
/** Time within which requests to sound servers must be served. */
const MAXIMUM_LATENCY = 1_000;
/**
 * Share of the requests to sound servers that are served while the responses of
 * the other server are as wrong, but short.
 */
const MINIMUM_SHARE = 0.5;

const HEAD = "HTTP/1.1 200 OK\r\nX-Plumloft-Request-Id: REQUEST_ID\r\n" +
  "X-Plumloft-Response-Signature: s\r\n";
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

/** Beginnings of responses, and the text that follows without end. */
const ENDLESS: Record<string, [beginning: string, piece: string]> = {
  "chunks of one byte": [CHUNKED, "1\r\nx\r\n"],
  "chunks of six bytes": [CHUNKED, "6\r\nxxxxxx\r\n"],
  "chunks of a kilobyte": [CHUNKED, `400\r\n${"x".repeat(1_024)}\r\n`],
  "a chunk extension": [`${CHUNKED}1;`, "x"],
  "interim responses": ["", "HTTP/1.1 100 Continue\r\n\r\n"],
  "lines of a head": [HEAD, "X-Line: 1\r\n"],
  "no response": ["", "\x01\r\n"],
  "a body up to the close": [`${HEAD}\r\n`, "x"],
};

/** Starts a system whose only server of `orders` sends without end. */
async function startDeployment(
  t: ExecutionContext,
  [beginning, piece]: [string, string],
) {
  const address = loopbackAddress();
  const faulty = spawn(
    process.execPath,
    ["--import=tsx", PROGRAM, address, beginning, piece],
    { stdio: "inherit" },
  );
  t.teardown(() => faulty.kill("SIGKILL"));
  const deployment = await Deployment.start({
    entries: 1,
    servers: 1,
    settings: { memory: { processMegabytes: MEMORY } },
    link: (_, name, to) => name === "orders-1" ? address : to,
  });
  t.teardown(() => deployment.stop());
  return { deployment, faulty };
}

/** Returns the peak memory of a process in megabytes. */
function peakMemory(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/^VmHWM:\s+(\d+) kB/m.exec(status)![1]) / 1_024;
}

/** Sends requests to all servers. */
async function load(deployment: Deployment) {
  const overrides = { seconds: LOAD_DURATION, pause: 5 };
  const [sound, faulty] = await Promise.all([
    runLoad(deployment.plan("stock", {
      ...overrides,
      method: "PUT",
      callers: SOUND_CALLERS,
    })),
    runLoad(deployment.plan("orders", {
      ...overrides,
      callers: FAULTY_CALLERS,
    })),
  ]);
  const served = sound.calls.filter(isServed);
  const latencies = served.map((each) => each.endedAt - each.startedAt);
  return {
    sound: sound.calls,
    served,
    slowest: Math.max(...latencies),
    faulty: faulty.calls,
  };
}

// Guards against a server that takes the memory or the processor time of the
// process that calls it, so that the requests of all other callers fail.
for (const [name, bytes] of Object.entries(ENDLESS)) {
  test.serial(`endless bytes, processes: ${name}: requests to other servers are served`, async (t) => {
    const { deployment, faulty } = await startDeployment(t, bytes);
    const usual = await load(deployment);
    faulty.kill("SIGUSR2");
    const endless = await load(deployment);
    const { exitCode, pid } = deployment.entries[0].process;
    t.is(exitCode, null);
    const peak = peakMemory(pid!);
    t.log({
      peak,
      usual: usual.served.length,
      served: endless.served.length,
      slowest: endless.slowest,
      faulty: [usual.faulty.length, endless.faulty.length],
    });
    t.true(peak < MEMORY, `${peak} MB`);
    t.is(endless.served.length, endless.sound.length, "all are served");
    t.true(endless.slowest <= MAXIMUM_LATENCY, `${endless.slowest} ms`);
    const share = endless.served.length / usual.served.length;
    t.true(share >= MINIMUM_SHARE, `${share} of the usual requests`);
    t.deepEqual(endless.faulty.filter(isServed), []);
  });
}
