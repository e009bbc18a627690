import test from "ava";
import { connect } from "node:net";
import { request } from "undici";
import { Deployment, type RunningEntry } from "./support/deployment.ts";

const checks = { token: true, lease: true, echo: true };
const HEADERS_TIMEOUT = 500;
const MEBIBYTE = 1_024 * 1_024;

let deployment: Deployment;
let entry: RunningEntry;

test.before(async () => {
  deployment = await Deployment.start({
    entries: 1,
    services: [
      { name: "apothiki", keyHeader: "x-stock-key", servers: 2, checks },
      { name: "archeio", keyHeader: null, servers: 2, checks },
    ],
    entrySettings: { callers: { headersTimeout: HEADERS_TIMEOUT } },
  });
  [entry] = deployment.entries;
});

test.after.always(() => deployment.stop());

interface Asked {
  path: string;
  headers?: Record<string, string>;
  body?: Buffer;
}

/** What a caller is told, but for what differs from run to run. */
async function ask({ path, headers = {}, body }: Asked) {
  const answer = await request(`http://${entry.address}${path}`, {
    method: body === undefined ? "GET" : "POST",
    headers,
    body,
  });
  const text = await answer.body.text();
  return {
    status: answer.statusCode,
    outcome: answer.headers["plumloft-outcome"] ?? null,
    text: text.slice(0, 120),
  };
}

test("callers: bad input is refused with what was expected", async (t) => {
  const key = { "x-stock-key": "hide" };
  t.snapshot({
    unknownService: await ask({ path: "/nothing/here" }),
    noService: await ask({ path: "/" }),
    missingKey: await ask({ path: "/apothiki/x" }),
    emptyKey: await ask({
      path: "/apothiki/x",
      headers: { "x-stock-key": "" },
    }),
    badId: await ask({
      path: "/apothiki/x",
      headers: { ...key, "x-request-id": "two words" },
    }),
    badTimeout: await ask({
      path: "/apothiki/x",
      headers: { ...key, "x-request-timeout-ms": "soon" },
    }),
    tooLarge: await ask({
      path: "/archeio/x",
      body: Buffer.alloc(8 * MEBIBYTE + 1),
    }),
  });
});

test("callers: bodies up to the limit come back whole", async (t) => {
  for (const size of [0, 1, 65_536, 65_537, MEBIBYTE, 8 * MEBIBYTE]) {
    const body = Buffer.alloc(size, "plumloft");
    const answer = await request(`http://${entry.address}/archeio/x`, {
      method: "POST",
      body,
    });
    t.is(answer.statusCode, 200);
    const bytes = Buffer.from(await answer.body.arrayBuffer());
    t.true(bytes.equals(body), `${size} bytes`);
  }
});

test("callers: a request id that was used is not run again", async (t) => {
  const once = {
    path: "/archeio/pay",
    headers: { "x-request-id": "pay-17" },
    body: Buffer.from("1"),
  };
  const [first, second] = [await ask(once), await ask(once)];
  t.snapshot({ first, second });
  const runs = deployment.servers.flatMap((each) => deployment.runs(each));
  t.is(runs.filter((run) => run.requestId === "pay-17").length, 1);
});

/** What comes back on a connection over which only `text` is sent. */
function sendRaw(text: string): Promise<string> {
  const [host, port] = entry.address.split(":");
  return new Promise((resolve) => {
    let received = "";
    const socket = connect(Number(port), host, () => socket.write(text));
    socket.on("data", (chunk) => received += chunk);
    socket.on("error", () => resolve(received));
    socket.on("close", () => resolve(received));
  });
}

test("callers: half-sent and malformed requests are ended", async (t) => {
  const firstLine = (text: string) => text.split("\r\n")[0];
  t.snapshot({
    halfSent: firstLine(
      await sendRaw("GET /archeio/x HTTP/1.1\r\nhost: a\r\n"),
    ),
    malformed: firstLine(await sendRaw("how do you do\r\n\r\n")),
  });
  t.is((await ask({ path: "/archeio/x" })).status, 200);
});
