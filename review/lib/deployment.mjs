// Starts a small deployment as separate processes on loopback addresses: the
// project's store stand-in, upstreams of `upstream.mjs`, and entry processes
// with the commands of the deploy file. Node only, no libraries.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");
const LIB = join(ROOT, "review/lib");
const PROGRAM = join(ROOT, "target/plumloft.cjs");

export const delay = (ms) => new Promise((done) => setTimeout(done, ms));

/** Raised when a case cannot run; the script exits with 2. */
export class CannotRun extends Error {}

/** Sends one HTTP call and returns its status and body. */
export function call(address, method, path, body, timeout = 2_000) {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    const sent = request(
      { host, port, method, path, agent: false, timeout },
      (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("error", reject);
        response.on("end", () =>
          resolve({ status: response.statusCode, body: Buffer.concat(chunks) })
        );
      },
    );
    sent.on("timeout", () => sent.destroy(new Error("timed out")));
    sent.on("error", reject);
    sent.end(body);
  });
}

/** Encodes a record of a keyed topic as PROTOCOL.md describes it. */
export function keyedRecord(key, value) {
  const name = Buffer.from(key);
  const content = Buffer.concat([
    Buffer.from([name.length]),
    name,
    Buffer.from(value),
  ]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

async function isFree(host, port) {
  const server = createServer();
  try {
    await new Promise((done, fail) => {
      server.once("error", fail);
      server.listen(port, host, done);
    });
  } catch {
    return false;
  }
  await new Promise((done) => server.close(done));
  return true;
}

const given = new Set();

/** Finds a free loopback address, below the ports of outgoing connections. */
export async function freeAddress(host = "127.0.0.1") {
  for (let i = 0; i < 200; i++) {
    const port = 20_000 + Math.floor(Math.random() * 12_000);
    const address = `${host}:${port}`;
    if (given.has(port) || !await isFree(host, port)) continue;
    given.add(port);
    return address;
  }
  throw new CannotRun("no free port");
}

/** Bounds of a small deployment, as on the users' sheets. */
const BOUNDS = { ratio: 0.2, window: 10, minimum: 56, drain: 2_000, grace: 6 };

/** See the comment of the file. */
export class Deployment {
  folder = mkdtempSync(join(tmpdir(), "plumloft-review-"));
  entries = [];
  upstreams = [];
  #children = [];
  #lines = [];
  store = "";

  /** Adds a line to the record of the run. */
  record(text) {
    this.#lines.push(`${new Date().toISOString().slice(11, 23)} ${text}`);
  }

  writeRecord(file, summary) {
    writeFileSync(file, [...summary, "", ...this.#lines, ""].join("\n"));
  }

  async startStore() {
    this.store = await freeAddress();
    const file = join(this.folder, "store.yaml");
    writeFileSync(file, `listen: ${this.store}\n`);
    this.#spawn("store", [PROGRAM, "stand-in", "store", "--settings", file]);
    await this.waitFor("the store", () =>
      call(this.store, "GET", "/-/log-newest?topic=keyed.op&part=0"));
  }

  /** Publishes a manifest, with the names that deploy/wire.toml asks for. */
  async publish(manifest) {
    const body = keyedRecord("config", JSON.stringify(manifest));
    const path = "/-/log-append?topic=keyed.op&part=0";
    const { status } = await call(this.store, "POST", path, body);
    if (status !== 200) throw new CannotRun(`manifest: ${status}`);
    this.record(`operator: manifest ${manifest.version} confirmed`);
  }

  /** Starts an upstream; `settings` are those of `upstream.mjs`. */
  async startUpstream(settings) {
    const address = settings.address ?? await freeAddress();
    const all = { zone: "a", ...settings, address, store: this.store };
    const child = this.#spawn(
      settings.id,
      [join(LIB, "upstream.mjs"), JSON.stringify(all)],
      (line) => this.#upstreamLine(upstream, line),
    );
    const upstream = { ...all, child, runs: [] };
    this.upstreams.push(upstream);
    return upstream;
  }

  #upstreamLine(upstream, line) {
    const [kind, id, at, ...rest] = line.split(" ");
    if (kind === "run") upstream.runs.push({ id, at: Number(at), rest });
    this.record(`${upstream.id}: ${line}`);
  }

  /**
   * Starts an entry process with the settings that deploy/settings.yaml asks
   * for, filled in for a machine of a small site.
   */
  async startEntry(vm, { zone = "a", memory = 350, bounds = {}, store } = {}) {
    const b = { ...BOUNDS, ...bounds };
    const [listen, readiness, peer, admin] = await Promise.all(
      [1, 2, 3, 4].map(() => freeAddress()),
    );
    const seeds = this.entries.slice(0, 3).map((each) => each.peer);
    const text = `vm: "${vm}"
availabilityZone: "${zone}"
listen: "${listen}"
readiness: "${readiness}"
peer: "${peer}"
seeds: ${JSON.stringify(seeds)}
admin: "${admin}"
store:
  address: "${store ?? this.store}"
  minimumTimeToLive: 1000
capacity:
  cpuShare: 0.54
  cores: 1
  linkMegabits: 1000
memory:
  processMegabytes: ${memory}
admission:
  byPriority: true
  scheduleReturns: true
  minimumTimeRatio: 1.9
balancing:
  startPace: true
leases:
  maximumHold: 10000
retries:
  ratio: ${b.ratio}
  windowSeconds: ${b.window}
  minimum: ${b.minimum}
drainTime: ${b.drain}
shutdownTimeoutSeconds: ${b.grace}
`;
    const file = join(this.folder, `${vm}.yaml`);
    writeFileSync(file, text);
    const entry = { vm, listen, readiness, peer, admin, log: [] };
    entry.file = file;
    this.#run(entry);
    this.entries.push(entry);
    return entry;
  }

  #run(entry) {
    // The words of `run` in deploy/system.toml.
    const flags = ["--max-semi-space-size=1"];
    const words = [PROGRAM, "serve", "--settings", entry.file];
    entry.child = this.#spawn(entry.vm, [...flags, ...words], (line) => {
      entry.log.push(line);
    });
  }

  /** Starts the process of an entry again after it has ended. */
  restartEntry(entry) {
    this.#run(entry);
  }

  async status(entry) {
    const { body } = await call(entry.admin, "GET", "/status");
    return JSON.parse(body.toString());
  }

  /** Waits until all entries are ready and know all upstreams and owners. */
  async waitUntilReady(servers = this.upstreams.length) {
    for (const entry of this.entries) {
      await this.waitFor(entry.vm, async () => {
        const status = await this.status(entry);
        const isAssigned = status.assignments.every(({ ranges, open }) =>
          ranges > 0 && ranges === open
        );
        if (!status.isReady || status.servers.length < servers || !isAssigned) {
          throw new Error(JSON.stringify(status).slice(0, 600));
        }
      });
    }
  }

  async waitFor(what, attempt, limit = 25_000) {
    const end = Date.now() + limit;
    for (;;) {
      try {
        return await attempt();
      } catch (error) {
        if (Date.now() > end) {
          throw new CannotRun(`${what} did not start: ${error.message}`);
        }
        await delay(100);
      }
    }
  }

  #spawn(name, args, onLine = () => {}) {
    const child = spawn(process.execPath, args, {
      cwd: ROOT,
      stdio: ["ignore", "pipe", "pipe"],
    });
    let text = "";
    child.stdout.on("data", (chunk) => {
      const lines = (text + chunk).split("\n");
      text = lines.pop();
      for (const line of lines) onLine(line);
    });
    let errors = "";
    child.stderr.on("data", (chunk) => errors = (errors + chunk).slice(-400));
    child.isStopping = false;
    child.on("exit", (code, signal) => {
      child.endedBy = signal ?? `code ${code}`;
      if (child.isStopping) return;
      this.record(`${name}: process ended, ${child.endedBy} ${errors}`);
    });
    this.#children.push(child);
    return child;
  }

  /** Ends all processes that this deployment has started. */
  async stop() {
    for (const child of this.#children) {
      child.isStopping = true;
      child.kill("SIGKILL");
      child.kill("SIGCONT");
    }
    await Promise.all(this.#children.map((child) =>
      child.exitCode !== null || child.signalCode !== null
        ? null
        : new Promise((done) => child.once("exit", done))
    ));
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Peak of a process's resident memory in megabytes; 0 if it has ended. */
export function peakMegabytes(pid) {
  try {
    const text = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/VmHWM:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1_024;
  } catch {
    return 0;
  }
}

/**
 * Runs a case: `body` returns the breaches of the rule. Exits with 1 if there
 * are some, 0 if there are none, and 2 if the case could not run.
 */
export async function runCase(folder, body) {
  const isTroubled = process.env.TROUBLE !== "0";
  const deployment = new Deployment();
  // A script may take 120 s at most.
  const giveUp = async (why) => {
    await deployment.stop();
    deployment.writeRecord(join(folder, "record.txt"), [why]);
    console.log(why);
    process.exit(2);
  };
  const guard = setTimeout(
    () => void giveUp("could not run: it took too long"),
    112_000,
  );
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.once(signal, () => void giveUp(`could not run: ${signal}`));
  }
  let code = 2;
  let summary = [];
  try {
    const { breaches, notes } = await body(deployment, isTroubled);
    code = breaches.length > 0 ? 1 : 0;
    summary = [
      `disruption: ${isTroubled ? "yes" : "no"}`,
      ...notes,
      `breaches: ${breaches.length}`,
      ...breaches.slice(0, 20).map((each) => `  ${each}`),
      code === 1 ? "RULE BROKEN" : "rule held",
    ];
  } catch (error) {
    summary = [`could not run: ${error.stack}`];
  } finally {
    clearTimeout(guard);
    await deployment.stop();
  }
  deployment.writeRecord(join(folder, "record.txt"), summary);
  console.log(summary.join("\n"));
  process.exit(code);
}
