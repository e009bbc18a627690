/**
 * A complete small deployment in one process: entry processes, stand-ins of
 * backend servers and a stand-in of the platform's store.
 *
 * @module
 */
import { randomInt } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:net";
import { Writable } from "node:stream";
import { setTimeout as delay } from "node:timers/promises";
import {
  PlatformHeaderCodec,
  PlatformOrderSender,
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
/** Range of ports, below those that kernels assign to outgoing connections. */
const MINIMUM_PORT = 20_000;
const MAXIMUM_PORT = 32_000;
const ENTRY_COUNT = 3;
const SERVERS_PER_SERVICE = 3;
const ZONES = ["larisa", "volos", "trikala"];
const SITE = "thessalia";
/** Maximum time until the deployment is ready, in milliseconds. */
const READY_TIMEOUT = 25_000;

/** Host name of the demo's routes. */
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
    /** Addresses that callers connect to. */
    readonly entryAddresses: string[],
    /** Addresses that serve status and metrics to operators. */
    readonly adminAddresses: string[],
  ) {}

  /**
   * Starts all processes and resolves when they are ready to serve requests.
   */
  static async start(): Promise<Demo> {
    const store = await StoreService.start(
      storeServiceSchema.parse({ listen: `${LOOPBACK}:0` }),
    );
    const servers = await startServers(store.address);
    await publish(store.address);
    const settings: EntrySettings[] = [];
    for (let i = 0; i < ENTRY_COUNT; i++) {
      settings.push(await entrySettings(i, store.address));
    }
    const processes: EntryProcess[] = [];
    for (const [index, vmSettings] of settings.entries()) {
      processes.push(await startEntry(vmSettings, index));
    }
    const demo = new Demo(
      store,
      servers,
      processes,
      settings.map((vmSettings) => vmSettings.listen),
      settings.map((vmSettings) => vmSettings.admin),
    );
    await demo.#waitUntilReady();
    return demo;
  }

  /** Shuts down the entry processes, then the stand-ins. */
  async stop(): Promise<void> {
    for (const process of this.processes) process.shutdown();
    await Promise.all(this.processes.map((process) => process.stopped));
    for (const server of this.servers) server.close();
    this.store.close();
  }

  async #waitUntilReady(): Promise<void> {
    const end = Date.now() + READY_TIMEOUT;
    while (!this.processes.every(isFullyReady)) {
      if (Date.now() > end) throw new Error("the demo did not become ready");
      await delay(20);
    }
  }
}

/** Whether an entry process knows all servers and the owners of all keys. */
function isFullyReady(process: EntryProcess): boolean {
  const { isReady, servers, assignments } = process.status();
  return isReady && servers.length === 2 * SERVERS_PER_SERVICE &&
    assignments.length > 0 &&
    assignments.every(({ ranges, open }) => ranges > 0 && ranges === open);
}

function startServers(store: string): Promise<BackendService[]> {
  const ids = [..."123"].flatMap((number) => [
    { id: `apothiki-${number}`, service: "apothiki", keyed: true },
    { id: `archeio-${number}`, service: "archeio", keyed: false },
  ]);
  return Promise.all(
    ids.map((identity, index) =>
      BackendService.start(backendServiceSchema.parse({
        ...identity,
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
    listen: await findFreeAddress(),
    readiness: await findFreeAddress(),
    peer: await findFreeAddress(),
    admin: await findFreeAddress(),
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
    headers: PlatformHeaderCodec.create(),
    orders: PlatformOrderSender.create(),
  };
  return EntryProcess.start(settings, platform, createDiscardStream(), seed);
}

/** Finds a loopback address whose port is free now. */
async function findFreeAddress(): Promise<string> {
  const port = randomInt(MINIMUM_PORT, MAXIMUM_PORT);
  const server = createServer();
  try {
    await once(server.listen(port, LOOPBACK), "listening");
  } catch {
    return findFreeAddress();
  }
  server.close();
  await once(server, "close");
  return `${LOOPBACK}:${port}`;
}

/** A stream that discards the log lines written to it. */
function createDiscardStream(): Writable {
  return new Writable({ write: (_chunk, _encoding, done) => done() });
}
