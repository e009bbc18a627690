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
import {
  PlatformHeaders,
  PlatformOrders,
  PlatformStore,
} from "../../platform/index.ts";
import {
  declarationSchema,
  siteConfiguration,
} from "../core/declaration/index.ts";
import { EntryProcess } from "../runtime/entry_process.ts";
import { type EntrySettings, entrySettingsSchema } from "../settings/index.ts";
import {
  BackendService,
  backendServiceSchema,
  StoreService,
  storeServiceSchema,
} from "../stand_ins/index.ts";

const LOOPBACK = "127.0.0.1";
/** Ports below those that kernels give to outgoing connections. */
const LOWEST_PORT = 20_000;
const HIGHEST_PORT = 32_000;
const ENTRIES = 3;
const SERVERS = 3;
const ZONES = ["larisa", "volos", "trikala"];
const SITE = "thessalia";
/** Time in which the system must be ready, in milliseconds. */
const READY_TIMEOUT = 25_000;

/** Host that the demo's routes are reached under. */
export const DEMO_HOST = "co-operative.example";

const DECLARATION = declarationSchema.parse({
  base: {
    cluster: "demo",
    services: { apothiki: { keyed: true }, archeio: {} },
    routes: {
      stock: {
        host: DEMO_HOST,
        path: "/stock/",
        to: "apothiki",
        idempotent: true,
      },
      catalogue: { host: DEMO_HOST, path: "/catalogue/", to: "archeio" },
    },
  },
  overlays: [{ site: SITE }],
});

/** See the module's comment. */
export class Demo {
  private constructor(
    readonly store: StoreService,
    readonly servers: BackendService[],
    private readonly processes: EntryProcess[],
    /** Where callers connect. */
    readonly entries: string[],
    /** Where operators ask. */
    readonly admins: string[],
  ) {}

  /** Starts everything and resolves when it serves. */
  static async start(): Promise<Demo> {
    const store = await StoreService.start(
      storeServiceSchema.parse({ listen: `${LOOPBACK}:0` }),
    );
    const servers = await startServers(store.address);
    await publish(store.address);
    const settings: EntrySettings[] = [];
    for (let i = 0; i < ENTRIES; i++) {
      settings.push(await entrySettings(i, store.address));
    }
    const processes: EntryProcess[] = [];
    for (const [index, each] of settings.entries()) {
      processes.push(await startEntry(each, index));
    }
    const demo = new Demo(
      store,
      servers,
      processes,
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
    for (const server of this.servers) server.close();
    this.store.close();
  }

  async #ready(): Promise<void> {
    const end = Date.now() + READY_TIMEOUT;
    while (!this.processes.every(isServing)) {
      if (Date.now() > end) throw new Error("the demo did not become ready");
      await delay(20);
    }
  }
}

/** Whether a process knows servers and where all keys are. */
function isServing(process: EntryProcess): boolean {
  const { isReady, servers, assignments } = process.status();
  return isReady && servers.length === 2 * SERVERS &&
    assignments.length > 0 &&
    assignments.every(({ ranges, open }) => ranges > 0 && ranges === open);
}

function startServers(store: string): Promise<BackendService[]> {
  const ids = [..."123"].flatMap((number) => [
    { id: `apothiki-${number}`, service: "apothiki", keyed: true },
    { id: `archeio-${number}`, service: "archeio", keyed: false },
  ]);
  return Promise.all(
    ids.map((each, index) =>
      BackendService.start(backendServiceSchema.parse({
        ...each,
        availabilityZone: ZONES[index % ZONES.length],
        listen: `${LOOPBACK}:0`,
        store,
      }))
    ),
  );
}

async function publish(address: string): Promise<void> {
  const store = PlatformStore.create(address, "demo", "demo");
  const { end } = await store.readConfiguration();
  await store.publish(siteConfiguration(DECLARATION, SITE, 1), end);
  store.close();
}

async function entrySettings(
  index: number,
  store: string,
): Promise<EntrySettings> {
  return entrySettingsSchema.parse({
    vm: `entry-${index + 1}`,
    availabilityZone: ZONES[index],
    listen: await freeAddress(),
    readiness: await freeAddress(),
    peer: await freeAddress(),
    admin: await freeAddress(),
    store: { address: store },
    shutdownTimeoutSeconds: 1,
  });
}

function startEntry(
  settings: EntrySettings,
  seed: number,
): Promise<EntryProcess> {
  const { store, vm } = settings;
  const platform = {
    store: PlatformStore.create(store.address, vm, vm),
    headers: PlatformHeaders.create(),
    orders: PlatformOrders.create(),
  };
  return EntryProcess.start(settings, platform, discard(), seed);
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
