/**
 * Pool of connections to backend servers that go through another VM.
 *
 * @module
 */
import type { AgentOptions, ClientRequestArgs } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { BackendAgent } from "./backend_agent.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import type { RelayConnector, RelayTarget } from "./relay_connector.ts";

/** Options of a request that its agent passes on to `createConnection`. */
export interface RelayedRequestOptions {
  /** The connection to open if none is idle. */
  relayTarget: RelayTarget;
  /**
   * Time until which a connection may be opened, and the error of a request
   * that would open one later; unlimited if omitted.
   */
  connectUntil?: { at: number; error: Error };
}

/**
 * Opens connections through another VM; see the module's comment. Requests need
 * the options {@linkcode RelayedRequestOptions}.
 */
export class RelayAgent extends BackendAgent {
  private constructor(
    private readonly connector: RelayConnector,
    private readonly idleTimeout: number,
    options: AgentOptions,
  ) {
    super({ ...options, keepAlive: true, scheduling: "lifo" });
  }

  /**
   * Creates an agent without connections. It keeps idle ones for `idleTimeout`
   * milliseconds.
   */
  static create(
    connector: RelayConnector,
    idleTimeout: number,
    options: AgentOptions = {},
  ): RelayAgent {
    return new RelayAgent(connector, idleTimeout, {
      ...options,
      timeout: idleTimeout,
    });
  }

  /** Called by Node for a request without an idle connection. */
  override createConnection(
    options: ClientRequestArgs,
    callback: (error: Error | null, socket: Duplex) => void,
  ): undefined {
    const { relayTarget, connectUntil } = options as
      & ClientRequestArgs
      & RelayedRequestOptions;
    // Node ignores the second argument if there is an error.
    const end = (error: Error | null, socket?: Socket) =>
      callback(error, socket!);
    if (connectUntil !== undefined && monotonicNow() >= connectUntil.at) {
      return void end(connectUntil.error);
    }
    this.connector.open(relayTarget, (error, socket) => {
      // Node sets the idle timeout only of sockets that it creates itself.
      socket?.setTimeout(this.idleTimeout);
      end(error, socket);
    });
  }
}
