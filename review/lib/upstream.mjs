// An upstream as PROTOCOL.md describes it: one request at a time on a
// connection, `slots` requests at once and a few more in a queue, grants of
// keys with epoch numbers, and an entry in the store. It prints a line for each
// request that reaches it (`got`), that it begins to work on (`run`), and for
// each answer (`answer`). Faults are set with SIGUSR2 (on) and SIGHUP (off).
import { createServer } from "node:net";
import { request } from "node:http";

const settings = {
  service: "",
  keyed: false,
  slots: 3,
  queue: 3,
  work: 60,
  heartbeat: 870,
  // Share of the answers that are followed by a second one (extra, late).
  extra: 0,
  // Length of the queue of new connections.
  backlog: 511,
  // Answers have no length and end with their connection.
  unframed: false,
  // Body bytes of an answer, and the time over which they are sent.
  size: 200,
  sendTime: 0,
  // Requests with a longer body are rejected before they are in, and the rest
  // of the body is read this many milliseconds later.
  longBody: 100_000,
  readAfter: 0,
  ...JSON.parse(process.argv[2]),
};
const { id, service, zone, address, store } = settings;
const [host, port] = address.split(":");
const born = Date.now();
let isTroubled = false;
let sequence = 0;
let running = 0;
const waiting = [];
/** Ranges of keys that are held, and all epoch numbers seen. */
let held = [];
const seen = [];
/** Keys at which work is running, and what waits until that has ended. */
const keysInWork = [];
let releases = [];

process.on("SIGUSR2", () => isTroubled = true);
process.on("SIGHUP", () => isTroubled = false);

const print = (line) => process.stdout.write(`${line}\n`);

function register() {
  sequence += 1;
  const entry = {
    born,
    service,
    address,
    zone,
    version: "v1",
    slots: settings.slots,
    state: "ready",
    warmupLeft: 0,
    sequence,
  };
  const key = Buffer.from(id);
  const content = Buffer.concat([
    Buffer.from([key.length]),
    key,
    Buffer.from(JSON.stringify(entry)),
  ]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  const [storeHost, storePort] = store.split(":");
  const sent = request({
    host: storeHost,
    port: storePort,
    method: "POST",
    path: "/-/log-append?topic=keyed.servers&part=0",
  }, (response) => response.resume());
  sent.on("error", () => {});
  sent.end(Buffer.concat([length, content]));
}

function isHeld(key) {
  const now = Date.now();
  return held.some(({ from, target, until }) =>
    from <= key && key <= target && until > now
  );
}

/** Removes keys from the held ranges. */
function drop({ from, target }) {
  held = held.flatMap((each) => {
    if (each.target < from || each.from > target) return [each];
    const parts = [];
    if (each.from < from) parts.push({ ...each, target: from - 1 });
    if (each.target > target) parts.push({ ...each, from: target + 1 });
    return parts;
  });
}

function grant(order) {
  const isOld = seen.some((each) =>
    each.from <= order.target && order.from <= each.target &&
    each.token > order.token
  );
  if (isOld) return 409;
  remember(order);
  drop(order);
  held.push({ ...order, until: Date.now() + order.holdTime });
  return 200;
}

/** Keeps the epoch number of an order; those it covers are not needed. */
function remember(order) {
  for (let i = seen.length - 1; i >= 0; i--) {
    const each = seen[i];
    if (order.from <= each.from && each.target <= order.target &&
      each.token <= order.token) seen.splice(i, 1);
  }
  seen.push({ from: order.from, target: order.target, token: order.token });
}

/** Resolves when no work on the keys of a release is running. */
function workEnded({ from, target }) {
  return new Promise((done) => {
    const check = () => {
      if (keysInWork.some((key) => from <= key && key <= target)) return;
      releases = releases.filter((each) => each !== check);
      done();
    };
    releases.push(check);
    check();
  });
}

/** A connection, with at most one request in work. */
class Connection {
  #buffer = Buffer.alloc(0);
  #isBusy = false;
  #isClosed = false;
  /** The request whose body is not complete, and the bytes that it lacks. */
  #partial = null;
  #missing = 0;
  #pieces = [];
  /** A second copy of the last answer, which arrives late. */
  #extra = null;
  #onClose = null;

  constructor(socket) {
    this.socket = socket;
    socket.on("data", (bytes) => {
      this.#read(bytes);
    });
    socket.on("error", () => {});
    socket.on("end", () => socket.end());
    socket.on("close", () => {
      this.#isClosed = true;
      this.#onClose?.();
    });
  }

  get isClosed() {
    return this.#isClosed;
  }

  #read(bytes) {
    if (this.#partial === null) {
      this.#buffer = Buffer.concat([this.#buffer, bytes]);
      return this.#next();
    }
    const body = bytes.subarray(0, this.#missing);
    this.#missing -= body.length;
    this.#pieces.push(body);
    if (this.#missing > 0) return;
    const { method, path, headers, isRejected } = this.#partial;
    const whole = isRejected ? "" : Buffer.concat(this.#pieces);
    this.#partial = null;
    this.#pieces = [];
    this.#buffer = Buffer.from(bytes.subarray(body.length));
    if (isRejected) {
      this.#isBusy = false;
      return this.#next();
    }
    void this.#handle(method, path, headers, whole);
  }

  /**
   * Rejects a long request before it is in. The rest of its body is read later,
   * and thrown away.
   */
  #reject(partial, requestId) {
    partial.isRejected = true;
    print(`got ${requestId} ${Date.now()}`);
    this.#answer(requestId, 503, "", { notRun: true, isEarly: true });
    this.socket.pause();
    setTimeout(() => this.socket.resume(), settings.readAfter);
  }

  #next() {
    if (this.#isBusy) return;
    const end = this.#buffer.indexOf("\r\n\r\n");
    if (end < 0) return;
    const [first, ...lines] = this.#buffer.toString("latin1", 0, end).split(
      "\r\n",
    );
    const [method, path] = first.split(" ");
    const headers = {};
    for (const line of lines) {
      const colon = line.indexOf(":");
      headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1)
        .trim();
    }
    const length = Number(headers["content-length"] ?? 0);
    const start = end + 4;
    const rest = this.#buffer.subarray(start);
    this.#buffer = Buffer.alloc(0);
    this.#isBusy = true;
    this.#partial = { method, path, headers, isRejected: false };
    this.#missing = length;
    const isEarly = isTroubled && settings.readAfter > 0 &&
      length > settings.longBody;
    if (isEarly) this.#reject(this.#partial, headers["x-plumloft-request-id"]);
    this.#read(rest);
  }

  async #handle(method, path, headers, body) {
    const requestId = headers["x-plumloft-request-id"] ?? "";
    const expected = headers["x-plumloft-expect-instance"];
    if (path === "/-/grant" || path === "/-/release") {
      if (expected !== undefined && expected !== id) {
        return this.#answer(requestId, 421, "", { notRun: true });
      }
      const order = JSON.parse(body.toString());
      if (path === "/-/grant") {
        return this.#answer(requestId, grant(order), "{}", {});
      }
      remember(order);
      drop(order);
      await workEnded(order);
      const handover = { "X-Plumloft-Handover": `handover-${id}` };
      return this.#answer(requestId, 200, "{}", { more: handover });
    }
    print(`got ${requestId} ${Date.now()}`);
    if (this.#extra !== null) {
      this.socket.write(this.#extra);
      this.#extra = null;
      print(`extra ${requestId} ${Date.now()}`);
      // The next answer follows a little later.
      await new Promise((done) => setTimeout(done, 2));
    }
    const key = Number(headers["x-plumloft-shard-key"]);
    const isMisdirected = expected !== undefined && expected !== id;
    if (isMisdirected || (settings.keyed && !isHeld(key))) {
      return this.#answer(requestId, 421, "", { notRun: true });
    }
    if (running >= settings.slots) {
      if (waiting.length >= settings.queue) {
        return this.#answer(requestId, 503, "", { notRun: true });
      }
      await new Promise((done) => waiting.push(done));
      // A request is dropped when its connection closes.
      if (this.#isClosed) return release();
    } else running += 1;
    if (settings.keyed && !isHeld(key)) {
      release();
      return this.#answer(requestId, 421, "", { notRun: true });
    }
    print(`run ${requestId} ${Date.now()} ${method} ${path}`);
    keysInWork.push(key);
    await new Promise((done) => setTimeout(done, settings.work));
    keysInWork.splice(keysInWork.indexOf(key), 1);
    for (const check of releases) check();
    release();
    if (this.#isClosed) return;
    const text = `${requestId}:`.padEnd(settings.size, "x");
    this.#answer(requestId, 200, text, { isRun: true });
  }

  #answer(requestId, status, body, { notRun, isRun, isEarly, more = {} }) {
    const headers = {
      "X-Plumloft-Request-Id": requestId,
      "X-Plumloft-Instance-Id": id,
      "X-Plumloft-Server-Load":
        `${running},${waiting.length},${settings.slots}`,
      ...(notRun ? { "X-Plumloft-Not-Executed": "1" } : {}),
      ...(isRun ? { "X-Plumloft-Response-Signature": `${id}.${body.length}` } : {}),
      ...more,
    };
    if (isRun && settings.unframed) {
      return this.#answerUnframed(requestId, status, headers, body);
    }
    headers["Content-Length"] = Buffer.byteLength(body);
    const bytes = Buffer.from(head(status, headers) + body);
    this.socket.write(bytes);
    if (requestId !== "") print(`answer ${requestId} ${Date.now()} ${status}`);
    const isOrder = requestId.startsWith("order-");
    if (isTroubled && !isOrder && Math.random() < settings.extra) {
      this.#extra = bytes;
    }
    if (isEarly) return;
    this.#isBusy = false;
    this.#next();
  }

  /** Sends an answer without a length in pieces, then ends the connection. */
  async #answerUnframed(requestId, status, headers, body) {
    headers.Connection = "close";
    this.socket.write(head(status, headers));
    const pieces = 10;
    const size = Math.ceil(body.length / pieces);
    for (let i = 0; i < pieces && !this.#isClosed; i++) {
      this.socket.write(body.slice(i * size, (i + 1) * size));
      await new Promise((done) => setTimeout(done, settings.sendTime / pieces));
    }
    if (this.#isClosed) return;
    print(`answer ${requestId} ${Date.now()} ${status} ${body.length}`);
    this.socket.end();
  }
}

function release() {
  const next = waiting.shift();
  if (next === undefined) running -= 1;
  else next();
}

const REASONS = { 200: "OK", 409: "Conflict", 421: "Misdirected Request", 503: "Service Unavailable" };

function head(status, headers) {
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  return `HTTP/1.1 ${status} ${REASONS[status]}\r\n${lines.join("")}\r\n`;
}

createServer({ noDelay: true }, (socket) => new Connection(socket))
  .listen(Number(port), host, settings.backlog, () => {
    register();
    setInterval(register, settings.heartbeat);
  });
