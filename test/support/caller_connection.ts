/**
 * Runs the server for caller connections without the rest of the entry, and
 * opens a connection to it.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import type { ExecutionContext } from "ava";
import { PlatformHeaderCodec } from "../../platform/index.ts";
import type { CallerLimits } from "../../src/core/catalog/index.ts";
import type { UntimedEvent } from "../../src/core/entry_event.ts";
import { CallerServer } from "../../src/runtime/caller_server.ts";
import { HeldBytes } from "../../src/runtime/held_bytes.ts";
import { LoopLag } from "../../src/runtime/loop_lag.ts";
import { parseAddress } from "../../src/settings/index.ts";
import { loopbackAddress } from "./loopback_address.ts";

/** A caller server and an open connection to it. */
export interface ConnectedCaller {
  server: CallerServer;
  socket: Socket;
  /** Events that the server has emitted. */
  events: UntimedEvent[];
  /** Returns the text received on the connection so far. */
  read(): string;
  /** Opens another connection from `localAddress`. */
  connectFrom(localAddress: string): Socket;
}

/** Starts a server that enforces `limits`, and stops it when the test ends. */
export async function connectCaller(
  t: ExecutionContext,
  limits: CallerLimits,
  held = HeldBytes.create(null),
): Promise<ConnectedCaller> {
  const events: UntimedEvent[] = [];
  const lag = LoopLag.create();
  const server = CallerServer.create(
    PlatformHeaderCodec.create(),
    { push: (each) => void events.push(each) },
    { recordResponse: () => {} },
    lag,
    held,
  );
  const address = loopbackAddress();
  await server.listen(address);
  server.applyLimits(limits);
  const { host, port } = parseAddress(address);
  const socket = connect(port, host);
  let text = "";
  socket.on("data", (bytes) => text += bytes.toString("latin1"));
  t.teardown(() => {
    socket.destroy();
    server.destroy();
    lag.stop();
  });
  const connectFrom = (localAddress: string) => {
    const other = connect({ host, port, localAddress });
    t.teardown(() => other.destroy());
    return other;
  };
  return { server, socket, events, read: () => text, connectFrom };
}
