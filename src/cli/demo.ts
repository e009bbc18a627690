/**
 * A whole small system in one process.
 *
 * @module
 */
import { randomInt } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:net";
import { Writable } from "node:stream";
import { setTimeout as delay } from "node:timers/promises";
import { EntryProcess, HttpLog } from "../adapters/index.ts";
import {
  type Configuration,
  configurationSchema,
} from "../core/configuration/index.ts";
import { Publisher } from "../operators/index.ts";
import { type VmSettings, vmSettingsSchema } from "../settings/index.ts";
import {
  BackendService,
  backendServiceSchema,
  LogService,
  logServiceSchema,
  VmListService,
  vmListServiceSchema,
} from "../stand_ins/index.ts";

const LOOPBACK = "127.0.0.1";
/** Ports below those that kernels give to outgoing connections. */
const LOWEST_PORT = 20_000;
const HIGHEST_PORT = 32_000;
const ENTRIES = 3;
const KEYED_SERVERS = 3;
const PLAIN_SERVERS = 2;
const ZONES = ["larisa", "volos", "trikala"];
/** Time in which the system must be ready, in milliseconds. */
const READY_TIMEOUT = 25_000;

/** See the module's comment. */
export class Demo {
  private constructor(
    private readonly processes: EntryProcess[],
    private readonly standIns: { close(): void }[],
    /** Where callers connect. */
    readonly entries: string[],
    /** Where operators ask. */
    readonly admins: string[],
  ) {}

  /** Starts everything and resolves when it serves. */
  static async start(): Promise<Demo> {
    const any = `${LOOPBACK}:0`;
    const log = await LogService.start(logServiceSchema.parse({ listen: any }));
    const vms = await VmListService.start(
      vmListServiceSchema.parse({ listen: any }),
    );
    const backends = await startBackends();
    const url = `http://${log.address}`;
    await Publisher.create(HttpLog.create(url, "plumloft")).publish(
      demoConfiguration(backends.map((each) => each.address)),
      "demo",
      0,
      READY_TIMEOUT,
    );
    const settings = await Promise.all(
      Array.from(
        { length: ENTRIES },
        (_, index) => entrySettings(index, url, `http://${vms.address}`),
      ),
    );
    const processes: EntryProcess[] = [];
    for (const each of settings) {
      processes.push(await EntryProcess.start(each, discard()));
    }
    const demo = new Demo(
      processes,
      [log, vms, ...backends],
      settings.map((each) => each.listen),
      settings.map((each) => each.admin),
    );
    await demo.#ready();
    return demo;
  }

  /** Stops everything. */
  async stop(): Promise<void> {
    for (const process of this.processes) process.shutdown();
    await Promise.all(this.processes.map((process) => process.stopped));
    for (const standIn of this.standIns) standIn.close();
  }

  async #ready(): Promise<void> {
    const end = Date.now() + READY_TIMEOUT;
    while (!this.processes.every(isReady)) {
      if (Date.now() > end) throw new Error("the demo did not become ready");
      await delay(20);
    }
  }
}

function isReady(process: EntryProcess): boolean {
  const { view, leaseRemaining } = process.status();
  const slots = Object.values(view.services).flat();
  return leaseRemaining > 0 && slots.length > 0 &&
    slots.every((slot) => slot.server !== null);
}

function startBackends(): Promise<BackendService[]> {
  const ids = [
    ...Array.from({ length: KEYED_SERVERS }, (_, i) => `apothiki-${i + 1}`),
    ...Array.from({ length: PLAIN_SERVERS }, (_, i) => `archeio-${i + 1}`),
  ];
  return Promise.all(
    ids.map((id) =>
      BackendService.start(backendServiceSchema.parse({
        id,
        listen: `${LOOPBACK}:0`,
        checks: { token: id.startsWith("apothiki"), lease: true },
      }))
    ),
  );
}

function demoConfiguration(addresses: string[]): Configuration {
  const servers = (name: string, from: string[]) =>
    from.map((address, index) => ({
      id: `${name}-${index + 1}`,
      address,
      availabilityZone: ZONES[index % ZONES.length],
    }));
  return configurationSchema.parse({
    base: {
      cluster: "demo",
      services: {
        apothiki: {
          key: { header: "x-stock-key" },
          checks: { token: true, lease: true, echo: true },
        },
        archeio: {},
      },
    },
    overlays: [{
      site: "thessalia",
      availabilityZones: ZONES,
      services: {
        apothiki: {
          backendServers: servers(
            "apothiki",
            addresses.slice(0, KEYED_SERVERS),
          ),
        },
        archeio: {
          backendServers: servers("archeio", addresses.slice(KEYED_SERVERS)),
        },
      },
    }],
  });
}

async function entrySettings(
  index: number,
  log: string,
  vmList: string,
): Promise<VmSettings> {
  const [listen, admin, peer] = await Promise.all([
    freeAddress(),
    freeAddress(),
    freeAddress(),
  ]);
  return vmSettingsSchema.parse({
    cluster: "demo",
    site: "thessalia",
    vm: `entry-${index + 1}`,
    availabilityZone: ZONES[index],
    listen,
    admin,
    peer,
    log: { url: log },
    vmList: { url: vmList },
    drainDelay: 50,
  });
}

/** An address of this machine that is free now. */
async function freeAddress(): Promise<string> {
  const port = randomInt(LOWEST_PORT, HIGHEST_PORT);
  const server = createServer();
  try {
    await once(server.listen(port, LOOPBACK), "listening");
  } catch {
    return freeAddress();
  }
  server.close();
  await once(server, "close");
  return `${LOOPBACK}:${port}`;
}

/** Takes log lines and keeps none. */
function discard(): Writable {
  return new Writable({ write: (_chunk, _encoding, done) => done() });
}
