/**
 * A small deployment for the scripts of this review: the project's store
 * stand-in, entry processes started with the command of the deploy file, and
 * backend servers that run in the script's own process.
 */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, connect } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { setTimeout as delay } from "node:timers/promises";

export { delay };
export const ROOT = resolve(fileURLToPath(new URL("../..", import.meta.url)));
export const TROUBLE = process.env.TROUBLE !== "0";
const MEGABYTE = 1_024 * 1_024;

/** Resolves to a free port of a loopback address. */
export function freePort(host) {
  return new Promise((done, fail) => {
    const server = createServer();
    server.once("error", fail);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => done(port));
    });
  });
}

/** Writes the events of a run to `record.txt` in the folder of the case. */
export class Record {
  #startedAt = Date.now();

  constructor(folder) {
    this.file = join(folder, "record.txt");
    writeFileSync(this.file, "");
  }

  write(event, detail = {}) {
    const at = ((Date.now() - this.#startedAt) / 1_000).toFixed(3);
    appendFileSync(this.file, `${at} ${event} ${JSON.stringify(detail)}\n`);
  }
}

function frameRecord(key, value) {
  const keyBytes = Buffer.from(key);
  const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value)]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

/**
 * A backend server. `onRequest` receives each request that is complete and its
 * connection; it answers with `answer`, or as it likes.
 */
export class Upstream {
  static #count = 0;
  sequence = 0;
  sockets = new Set();
  leases = [];
  tokens = [];

  static async start(deployment, options) {
    const upstream = new Upstream();
    Upstream.#count += 1;
    Object.assign(upstream, {
      deployment,
      id: `i-${options.service}-${Upstream.#count}`,
      born: Date.now(),
      slots: 8,
      zone: "zone-a",
      isKeyed: false,
      isReady: true,
      readPause: () => false,
    }, options);
    upstream.host ??= `127.0.3.${Upstream.#count}`;
    upstream.port ??= await freePort(upstream.host);
    upstream.server = createServer((socket) => upstream.#accept(socket));
    await new Promise((done, fail) => {
      upstream.server.once("error", fail);
      upstream.server.listen(upstream.port, upstream.host, done);
    });
    await upstream.register();
    upstream.timer = setInterval(() => void upstream.register(), 870);
    return upstream;
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  async register(state = this.isReady ? "ready" : "draining") {
    this.sequence += 1;
    const entry = {
      born: this.born,
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state,
      warmupLeft: 0,
      sequence: this.sequence,
    };
    await this.deployment.append("keyed.servers", this.id, JSON.stringify(entry)).catch(() => {});
  }

  #accept(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.once("close", () => this.sockets.delete(socket));
    let buffer = Buffer.alloc(0);
    let isBusy = false;
    const next = async () => {
      if (isBusy) return;
      const end = buffer.indexOf("\r\n\r\n");
      if (end < 0) return;
      const [line, ...lines] = buffer.subarray(0, end).toString("latin1").split("\r\n");
      const [method, path] = line.split(" ");
      const headers = {};
      for (const each of lines) {
        const colon = each.indexOf(":");
        headers[each.slice(0, colon).toLowerCase()] = each.slice(colon + 1).trim();
      }
      const length = Number(headers["content-length"] ?? 0);
      if (buffer.length < end + 4 + length) return;
      const body = buffer.subarray(end + 4, end + 4 + length);
      buffer = Buffer.from(buffer.subarray(end + 4 + length));
      isBusy = true;
      await this.#handle({ method, path, headers, body, id: headers["x-plumloft-request-id"] ?? "" }, socket);
      isBusy = false;
      void next();
    };
    socket.on("data", (bytes) => {
      buffer = buffer.length === 0 ? bytes : Buffer.concat([buffer, bytes]);
      void next();
    });
  }

  async #handle(request, socket) {
    const expected = request.headers["x-plumloft-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return this.answer(socket, request, 421, "", { "X-Plumloft-Not-Executed": "1" }, false);
    }
    if (request.path === "/-/grant" || request.path === "/-/release") {
      return this.#order(request, socket);
    }
    if (this.isKeyed && !this.#holds(Number(request.headers["x-plumloft-shard-key"]))) {
      return this.answer(socket, request, 421, "", { "X-Plumloft-Not-Executed": "1" }, false);
    }
    await this.onRequest(request, socket, this);
  }

  #holds(key) {
    const now = Date.now();
    return this.leases.some((each) => each.from <= key && key <= each.target && each.until > now);
  }

  #order(request, socket) {
    const { from, target, token, holdTime } = JSON.parse(request.body.toString());
    const overlaps = (each) => each.from <= target && from <= each.target;
    const isGrant = request.path === "/-/grant";
    if (isGrant && this.tokens.some((each) => overlaps(each) && each.token > token)) {
      return this.answer(socket, request, 409, "{}", {}, false);
    }
    this.tokens = this.tokens.filter((each) => !(from <= each.from && each.target <= target));
    this.tokens.push({ from, target, token });
    this.leases = this.leases.filter((each) => !overlaps(each));
    if (isGrant) this.leases.push({ from, target, until: Date.now() + holdTime });
    const headers = isGrant ? {} : { "X-Plumloft-Handover": `h-${this.id}` };
    this.answer(socket, request, 200, "{}", headers, false);
  }

  answer(socket, request, status, body, headers = {}, isSigned = true) {
    const bytes = Buffer.from(body);
    const all = {
      "X-Plumloft-Request-Id": request.id,
      "X-Plumloft-Instance-Id": this.id,
      ...(isSigned ? { "X-Plumloft-Response-Signature": `s.${request.id}.${bytes.length}` } : {}),
      "Content-Length": bytes.length,
      ...headers,
    };
    const head = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    socket.write(Buffer.concat([Buffer.from(`HTTP/1.1 ${status} Status\r\n${head}\r\n`), bytes]));
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

/** The store stand-in and the entry processes. */
export class Deployment {
  entries = [];
  upstreams = [];
  version = 1;

  static async start({ entries = 2, settings = "", memory = 350 } = {}) {
    const deployment = new Deployment();
    deployment.folder = mkdtempSync(join(tmpdir(), "plumloft-review-"));
    deployment.extra = settings;
    deployment.memory = memory;
    const storePort = await freePort("127.0.1.1");
    deployment.storeAddress = `127.0.1.1:${storePort}`;
    const file = join(deployment.folder, "store.yaml");
    writeFileSync(file, `listen: ${deployment.storeAddress}\n`);
    deployment.store = spawn("node", ["target/plumloft.cjs", "stand-in", "store", "--settings", file], {
      cwd: ROOT,
      stdio: "ignore",
    });
    await deployment.#waitFor(() => connects(deployment.storeAddress));
    for (let i = 1; i <= entries; i++) await deployment.addEntry(i);
    return deployment;
  }

  async addEntry(i) {
    const ip = `127.0.2.${i}`;
    const entry = { index: i, ip, logs: [], exits: [] };
    for (const name of ["front", "ready", "control", "admin"]) entry[name] = `${ip}:${await freePort(ip)}`;
    entry.file = join(this.folder, `entry-${i}.yaml`);
    this.entries.push(entry);
    return entry;
  }

  /** Fills in the settings template of the deploy file as the platform does. */
  writeSettings(entry) {
    const values = {
      "vm": `front-${entry.index}`,
      "zone": "zone-a",
      "listen.front": entry.front,
      "listen.ready": entry.ready,
      "listen.control": entry.control,
      "seeds|json": JSON.stringify(this.entries.slice(0, 3).map(({ control }) => control)),
      "platform.address": this.storeAddress,
      "platform.minimumTimeToLive": 1_000,
      "limits.cpu_share": 0.54,
      "limits.cores": 1,
      "limits.link_mbps": 1_000,
      "limits.memory_mb": this.memory,
      "bounds.maximumHoldTime": 10_000,
      "bounds.retryRatio": 0.2,
      "bounds.retryWindowSeconds": 10,
      "bounds.minimumRetries": 56,
      "bounds.drainTime": 2_000,
      "bounds.graceSeconds": 6,
    };
    const template = readFileSync(join(ROOT, "deploy/settings.yaml"), "utf8")
      .replace(/"\{\{ip\}\}:9464"/, `"${entry.admin}"`);
    const text = template.replace(/\{\{([^}]*)\}\}/g, (_, name) => {
      if (!(name in values)) throw new Error(`unknown placeholder ${name}`);
      return String(values[name]);
    });
    writeFileSync(entry.file, `${text}\n${this.extra}`);
  }

  /** Starts the process of an entry with the `run` line of the deploy file. */
  startEntry(entry) {
    this.writeSettings(entry);
    const [, run] = /^run = "([^"]*)"/m.exec(readFileSync(join(ROOT, "deploy/system.toml"), "utf8"));
    const [program, ...words] = run.replace("/etc/plumloft/boot.json", entry.file).split(" ");
    const child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? "C" },
      stdio: ["ignore", "pipe", "pipe"],
    });
    entry.process = child;
    const keep = (bytes) => entry.logs.push(bytes.toString());
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    child.once("exit", (code, signal) => entry.exits.push({ code, signal }));
    return child;
  }

  async startAll() {
    for (const entry of this.entries) this.startEntry(entry);
    for (const entry of this.entries) await this.waitReady(entry);
  }

  async waitReady(entry) {
    await this.#waitFor(async () => (await get(entry.ready, "/-/readyz")) === 200);
  }

  async append(topic, key, value) {
    const response = await fetch(`http://${this.storeAddress}/-/log-append?topic=${topic}&part=0`, {
      method: "POST",
      body: frameRecord(key, value),
    });
    await response.arrayBuffer();
    if (response.status !== 200) throw new Error(`store: ${response.status}`);
  }

  /** Publishes a manifest; `routes` and `services` are those of our pages. */
  async publish(routes, services) {
    const manifest = {
      version: this.version,
      routes,
      services: services.map((each) => ({
        health_path: "/healthz",
        max_connections: 110,
        protocol: "h1",
        tls: false,
        ...each,
      })),
      limits: {
        maximumHeaderBytes: 16_384,
        maximumBodyBytes: 64 * MEGABYTE,
        headerTimeout: 3_000,
        idleTimeout: 15_000,
      },
    };
    this.version += 3;
    await this.append("keyed.op", "config", JSON.stringify(manifest));
  }

  async stop() {
    for (const upstream of this.upstreams) upstream.stop();
    const children = [this.store, ...this.entries.map((each) => each.process)];
    for (const child of children) {
      if (child && child.exitCode === null && child.signalCode === null) child.kill("SIGKILL");
    }
    await delay(100);
    rmSync(this.folder, { recursive: true, force: true });
  }

  async #waitFor(condition, time = 20_000) {
    const end = Date.now() + time;
    while (!(await condition())) {
      if (Date.now() > end) throw new Error("the deployment did not start");
      await delay(50);
    }
  }
}

export function route(name, service, { kind = "unsafe", timeout = 5_000, target = 1_000, attempts = 2 } = {}) {
  return {
    name,
    host: `${name}.example`,
    pathPrefix: `/${name}/`,
    kind,
    timeout,
    targetLatency: target,
    priority: 1,
    service,
    maximumAttempts: attempts,
  };
}

export function connects(address) {
  const [host, port] = address.split(":");
  return new Promise((done) => {
    const socket = connect(Number(port), host);
    socket.once("connect", () => (socket.destroy(), done(true)));
    socket.once("error", () => done(false));
  });
}

async function get(address, path) {
  try {
    const response = await fetch(`http://${address}${path}`, { signal: AbortSignal.timeout(1_000) });
    await response.arrayBuffer();
    return response.status;
  } catch {
    return 0;
  }
}

/** A client connection that sends one request after the other. */
export class Caller {
  received = Buffer.alloc(0);
  responses = [];
  /** Heads of interim responses (1xx), which are no answer (RFC 9110, 15.2). */
  interim = [];
  isEnded = false;
  error = null;

  static open(address) {
    const caller = new Caller();
    const [host, port] = address.split(":");
    caller.socket = connect(Number(port), host);
    caller.socket.setNoDelay(true);
    caller.socket.on("error", (error) => (caller.error = error.code, caller.isEnded = true));
    caller.socket.on("end", () => (caller.isEnded = true));
    caller.socket.on("close", () => (caller.isEnded = true));
    caller.socket.on("data", (bytes) => caller.#receive(bytes));
    return caller;
  }

  send({ id, host, path, method = "POST", body = "", timeout = 5_000, headers = {} }) {
    const bytes = Buffer.from(body);
    const all = {
      Host: host,
      "X-Plumloft-Request-Id": id,
      "X-Plumloft-Deadline-Ms": timeout,
      ...(method === "GET" ? {} : { "Content-Length": bytes.length }),
      ...headers,
    };
    const head = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    this.socket.write(Buffer.concat([Buffer.from(`${method} ${path} HTTP/1.1\r\n${head}\r\n`), bytes]));
  }

  #receive(bytes) {
    this.received = Buffer.concat([this.received, bytes]);
    for (;;) {
      const end = this.received.indexOf("\r\n\r\n");
      if (end < 0) return;
      const [line, ...lines] = this.received.subarray(0, end).toString("latin1").split("\r\n");
      const headers = {};
      for (const each of lines) {
        const colon = each.indexOf(":");
        headers[each.slice(0, colon).toLowerCase()] = each.slice(colon + 1).trim();
      }
      const status = Number(line.split(" ")[1]);
      const hasBody = status >= 200 && status !== 204 && status !== 304;
      const length = hasBody ? Number(headers["content-length"] ?? 0) : 0;
      if (this.received.length < end + 4 + length) return;
      const body = this.received.subarray(end + 4, end + 4 + length);
      this.received = this.received.subarray(end + 4 + length);
      if (status >= 200) this.responses.push({ status, headers, body, at: Date.now() });
      else this.interim.push([line, ...lines].join("\n"));
    }
  }

  /** Resolves when `count` responses have arrived or the connection has ended. */
  async wait(count = 1, time = 8_000) {
    const end = Date.now() + time;
    while (this.responses.length < count && !this.isEnded && Date.now() < end) await delay(2);
    return this.responses[count - 1] ?? null;
  }

  close() {
    this.socket.destroy();
  }
}

/**
 * Runs a case: `play` returns whether the rule was broken. Ends all processes
 * and exits with 1 if it was, 0 if it held, and 2 if the case could not run.
 */
export async function runCase(folder, play) {
  const record = new Record(folder);
  const state = { deployment: null };
  let code = 2;
  const limit = setTimeout(() => {
    record.write("case.timeout");
    void end(2);
  }, 110_000);
  const end = async (result) => {
    clearTimeout(limit);
    await state.deployment?.stop().catch(() => {});
    process.exit(result);
  };
  for (const signal of ["SIGTERM", "SIGINT"]) process.once(signal, () => void end(2));
  record.write("case.started", { trouble: TROUBLE });
  try {
    const isBroken = await play(record, state);
    code = isBroken ? 1 : 0;
    record.write("case.ended", { isBroken });
    console.log(isBroken ? "rule broken" : "rule held");
  } catch (error) {
    record.write("case.failed", { cause: String(error?.stack ?? error) });
    console.error(error);
  }
  await end(code);
}
