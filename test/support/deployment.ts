/**
 * A deployment of separate processes: the platform's stand-ins, backend servers
 * and entry VMs, each started as an operator would start it.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import {
  closeSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { stringify } from "yaml";
import type { RouterStatus } from "../../src/core/index.ts";
import { readHistory, type Run } from "../../src/load/index.ts";
import type { BackendFaults, LogFaults } from "../../src/stand_ins/index.ts";
import { bundledProgram } from "./bundled_program.ts";
import { loopbackAddress } from "./loopback_address.ts";

/** One service of a deployment. */
export interface ServicePlan {
  name: string;
  keyHeader: string | null;
  keySlots?: number;
  servers: number;
  checks: { token: boolean; lease: boolean; echo: boolean };
  /** Milliseconds that a request takes. */
  work?: number;
  slots?: number;
  maximumTimeout?: number;
}

/** What a deployment consists of. */
export interface DeploymentPlan {
  entries: number;
  services: ServicePlan[];
  /** Settings of the entries that differ from the defaults. */
  entrySettings?: Record<string, unknown>;
}

/** A process and how it was started. */
export interface Running {
  name: string;
  address: string;
  child: ChildProcess;
  arguments: string[];
}

/** An entry process. */
export interface RunningEntry extends Running {
  admin: string;
}

/** A backend server. */
export interface RunningServer extends Running {
  service: string;
}

/** Time that any condition may take before a test fails, in milliseconds. */
const PATIENCE = 30_000;
const ZONES = ["larisa", "volos", "trikala", "karditsa"];

/** See the module's comment. */
export class Deployment {
  readonly entries: RunningEntry[] = [];
  readonly servers: RunningServer[] = [];
  readonly #commands = new Set<ChildProcess>();
  log!: Running;
  vms!: Running;

  private constructor(
    private readonly plan: DeploymentPlan,
    readonly folder: string,
    private readonly program: string,
  ) {}

  /** Starts everything and waits until all entries serve all services. */
  static async start(plan: DeploymentPlan): Promise<Deployment> {
    const folder = mkdtempSync(join(tmpdir(), "plumloft-deployment-"));
    const deployment = new Deployment(plan, folder, await bundledProgram());
    try {
      await deployment.#start();
    } catch (error) {
      await deployment.stop();
      throw error;
    }
    return deployment;
  }

  /** Ends every process that was started. */
  async stop(): Promise<void> {
    const all = [this.log, this.vms, ...this.servers, ...this.entries]
      .filter((each) => each !== undefined)
      .map((each) => each.child);
    await Promise.all([...all, ...this.#commands].map(endProcess));
  }

  /** Runs a command of the program to its end. */
  async run(
    ...args: string[]
  ): Promise<{ code: number | null; output: string; errors: string }> {
    const child = spawn(process.execPath, [this.program, ...args]);
    let output = "";
    let errors = "";
    child.stdout.on("data", (chunk) => output += chunk);
    child.stderr.on("data", (chunk) => errors += chunk);
    this.#commands.add(child);
    const code = await new Promise<number | null>((resolve) =>
      child.once("close", resolve)
    );
    this.#commands.delete(child);
    return { code, output, errors };
  }

  /** Addresses that nothing uses yet. */
  freeAddresses(count: number): string[] {
    return Array.from({ length: count }, loopbackAddress);
  }

  /** Folder of the configuration that was published. */
  get configurationFolder(): string {
    return join(this.folder, "configuration");
  }

  /** What an entry sees. */
  async status(entry: RunningEntry): Promise<RouterStatus> {
    const { body } = await request(`http://${entry.admin}/status`);
    return await body.json() as RouterStatus;
  }

  /** Switches faults of the log. */
  async setLogFaults(faults: Partial<LogFaults>): Promise<void> {
    await putFaults(this.log.address, faults);
  }

  /** Switches faults of a backend server. */
  async setServerFaults(
    server: RunningServer,
    faults: Partial<BackendFaults>,
  ): Promise<void> {
    await putFaults(server.address, faults);
  }

  /** What ran at a backend server, in all runs of its process. */
  runs(server: RunningServer): Run[] {
    const file = this.#runsFile(server.name);
    return existsSync(file) ? readHistory(file).runs : [];
  }

  /** Tells the platform's list of VMs that some are leaving. */
  async list(vms: Record<string, "live" | "leaving" | "gone">): Promise<void> {
    const { body } = await request(`http://${this.vms.address}/vms`, {
      method: "PUT",
      body: JSON.stringify(vms),
    });
    await body.dump();
  }

  /** Starts a process again as it was started before. */
  restart(running: Running): void {
    running.child = this.#spawn(running.name, running.arguments);
  }

  /** The lines that a process has logged, parsed. */
  logLines(running: Running): Record<string, unknown>[] {
    return readFileSync(join(this.folder, `${running.name}.log`), "utf8")
      .split("\n")
      .filter((line) => line.startsWith("{"))
      .map((line) => JSON.parse(line) as Record<string, unknown>);
  }

  /** Waits until all entries that run can serve all services. */
  async ready(): Promise<void> {
    await waitFor("all entries to serve", async () => {
      const live = this.entries.filter((each) => each.child.exitCode === null);
      const states = await Promise.all(live.map((each) => this.status(each)));
      return states.every((state) =>
        state.leaseRemaining > 0 && state.revision > 0 &&
        state.view.membership.members.length === live.length &&
        Object.keys(state.view.services).length === this.#keyedServices() &&
        Object.values(state.view.services).flat()
          .every((slot) => slot.server !== null)
      );
    });
  }

  #keyedServices(): number {
    return this.plan.services.filter((each) => each.keyHeader !== null).length;
  }

  async #start(): Promise<void> {
    this.log = this.#standIn("log", {});
    this.vms = this.#standIn("vms", { lag: 100 });
    for (const service of this.plan.services) {
      for (let number = 1; number <= service.servers; number++) {
        const started = this.#startServer(service, number);
        this.servers.push(started);
      }
    }
    this.#writeConfiguration();
    for (let number = 1; number <= this.plan.entries; number++) {
      this.entries.push(this.#startEntry(number));
    }
    await this.#publish();
    await this.ready();
  }

  #standIn(
    kind: "log" | "vms",
    settings: Record<string, unknown>,
  ): Running {
    const address = loopbackAddress();
    const args = [
      "stand-in",
      kind,
      "--settings",
      this.#settings(kind, {
        listen: address,
        ...settings,
      }),
    ];
    const child = this.#spawn(kind, args);
    return { name: kind, address, child, arguments: args };
  }

  #startServer(
    service: ServicePlan,
    number: number,
  ): RunningServer {
    const name = `${service.name}-${number}`;
    const address = loopbackAddress();
    const args = [
      "stand-in",
      "backend",
      "--settings",
      this.#settings(name, {
        id: name,
        listen: address,
        slots: service.slots ?? 3,
        work: service.work ?? 1,
        checks: service.checks,
        runsFile: this.#runsFile(name),
      }),
    ];
    const child = this.#spawn(name, args);
    return { name, address, child, service: service.name, arguments: args };
  }

  #startEntry(number: number): RunningEntry {
    const name = `entry-${number}`;
    const [address, admin, peer] = [
      loopbackAddress(),
      loopbackAddress(),
      loopbackAddress(),
    ];
    const args = [
      "serve",
      "--settings",
      this.#settings(name, {
        cluster: "test",
        site: "thessalia",
        vm: name,
        availabilityZone: ZONES[(number - 1) % ZONES.length],
        listen: address,
        admin,
        peer,
        log: { url: `http://${this.log.address}` },
        vmList: { url: `http://${this.vms.address}`, interval: 100 },
        drainDelay: 300,
        ...this.plan.entrySettings,
      }),
    ];
    const child = this.#spawn(name, args);
    return { name, address, admin, child, arguments: args };
  }

  #runsFile(name: string): string {
    return join(this.folder, `${name}.runs`);
  }

  #settings(name: string, value: unknown): string {
    const file = join(this.folder, `${name}.yaml`);
    writeFileSync(file, stringify(value));
    return file;
  }

  #spawn(name: string, args: string[]): ChildProcess {
    // Straight to a file: a pipe would make this process read every log line.
    const file = openSync(join(this.folder, `${name}.log`), "a");
    const child = spawn(process.execPath, [this.program, ...args], {
      stdio: ["ignore", file, file],
    });
    closeSync(file);
    return child;
  }

  #writeConfiguration(): void {
    const services = Object.fromEntries(
      this.plan.services.map((each) => [each.name, {
        ...(each.keyHeader === null
          ? {}
          : { key: { header: each.keyHeader }, keySlots: each.keySlots ?? 64 }),
        checks: each.checks,
        slots: each.slots ?? 3,
        maximumTimeout: each.maximumTimeout ?? 10_000,
      }]),
    );
    const overlay = {
      site: "thessalia",
      availabilityZones: ZONES,
      services: Object.fromEntries(
        this.plan.services.map((each) => [each.name, {
          backendServers: this.servers
            .filter((server) => server.service === each.name)
            .map((server, index) => ({
              id: server.name,
              address: server.address,
              availabilityZone: ZONES[index % ZONES.length],
            })),
        }]),
      ),
    };
    mkdirSync(join(this.configurationFolder, "sites"), { recursive: true });
    writeFileSync(
      join(this.configurationFolder, "base.yaml"),
      stringify({ cluster: "test", services }),
    );
    writeFileSync(
      join(this.configurationFolder, "sites", "thessalia.yaml"),
      stringify(overlay),
    );
  }

  async #publish(): Promise<void> {
    const url = `http://${this.log.address}`;
    await waitFor("the configuration to be published", async () => {
      const args = ["config", "publish", this.configurationFolder];
      const { code } = await this.run(...args, "--log", url);
      return code === 0;
    });
  }
}

/** Waits until `condition` holds; errors count as "not yet". */
export async function waitFor(
  what: string,
  condition: () => Promise<boolean>,
): Promise<void> {
  const end = Date.now() + PATIENCE;
  while (Date.now() < end) {
    try {
      if (await condition()) return;
    } catch {
      // Not yet.
    }
    await delay(20);
  }
  throw new Error(`waited in vain for ${what}`);
}

/** Kills a process and waits for its end. */
export async function endProcess(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const closed = new Promise((resolve) => child.once("exit", resolve));
  child.kill("SIGKILL");
  await closed;
}

async function putFaults(address: string, faults: object): Promise<void> {
  const { body } = await request(`http://${address}/stand-in/faults`, {
    method: "PUT",
    body: JSON.stringify(faults),
  });
  await body.dump();
}
