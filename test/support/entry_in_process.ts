/**
 * Runs an entry inside the test process, without backend servers. Unless a test
 * passes the address of a store, the store is unreachable and the entry has no
 * configuration, so it responds to every request itself.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import { PassThrough } from "node:stream";
import type { ExecutionContext } from "ava";
import {
  PlatformHeaderCodec,
  PlatformOrderSender,
  PlatformStore,
} from "../../platform/index.ts";
import { EntryProcess } from "../../src/runtime/entry_process.ts";
import { entrySettingsSchema, parseAddress } from "../../src/settings/index.ts";
import { loopbackAddress } from "./loopback_address.ts";

/** An entry that runs inside the test process. */
export interface EntryInProcess {
  entry: EntryProcess;
  /** Opens a new caller connection. */
  connect(): Socket;
  /** Returns the log lines written so far. */
  log(): Record<string, unknown>[];
}

/**
 * Starts an entry that uses the store at address `store`. A shutdown that takes
 * longer than `shutdownTimeoutSeconds` is forced. The entry is stopped when the
 * test ends.
 */
export async function startEntryInProcess(
  t: ExecutionContext,
  shutdownTimeoutSeconds: number,
  store = loopbackAddress(),
): Promise<EntryInProcess> {
  const [listen, readiness, peer, admin] = Array.from(
    { length: 4 },
    () => loopbackAddress(),
  );
  const settings = entrySettingsSchema.parse({
    vm: "vm-1",
    availabilityZone: "a",
    listen,
    readiness,
    peer,
    admin,
    store: { address: store },
    shutdownTimeoutSeconds,
  });
  const output = new PassThrough();
  let lines = "";
  output.on("data", (chunk) => lines += String(chunk));
  const platform = {
    store: PlatformStore.create(store, "vm-1", peer),
    headers: PlatformHeaderCodec.create(),
    orders: PlatformOrderSender.create(),
  };
  const entry = await EntryProcess.start(settings, platform, output, 1);
  t.teardown(() => {
    entry.shutdown();
    return entry.stopped;
  });
  const { host, port } = parseAddress(listen);
  return {
    entry,
    connect: () => {
      const socket = connect(port, host);
      t.teardown(() => socket.destroy());
      return socket;
    },
    log: () =>
      lines.split("\n").filter((line) => line !== "")
        .map((line) => JSON.parse(line)),
  };
}
