/**
 * Opens connections to backend servers through other VMs.
 *
 * @module
 */
import type { Socket } from "node:net";
import { StepError } from "../errors/index.ts";
import { parseAddress } from "../settings/index.ts";
import { encodeFrame, PROTOCOL_VERSION } from "./frame.ts";
import type { PeerIdentity } from "./peer_network.ts";
import type { RelayFailure } from "./relay_frame.ts";
import { RelayedSocket } from "./relayed_socket.ts";

/**
 * Time within which a connection through another VM has to be open, in
 * milliseconds. It exceeds the time that the other VM takes to find that the
 * server does not respond.
 */
const OPEN_TIMEOUT = 400;

/** A connection to open. */
export interface RelayTarget {
  /** Peer address of the VM between. */
  relay: string;
  /** Id and address of the server. */
  server: string;
  address: string;
  /**
   * Time after bytes for the server within which it has to send some, in
   * milliseconds; afterwards the VM between resets its connection to the
   * server.
   */
  responseTimeout: number;
}

/**
 * Thrown when a connection through another VM could not be opened. Nothing has
 * reached the server.
 */
export class RelayError extends StepError {
  private constructor(
    peer: string,
    /** What the other VM answered; null if it did not answer. */
    readonly failure: RelayFailure | null,
    detail: string,
    cause: Error | undefined,
  ) {
    super({ step: "connect through VM", peer }, cause, detail);
  }

  /** Creates an error for a connection through the VM at `peer`. */
  static of(
    peer: string,
    failure: RelayFailure | null,
    detail: string,
    cause?: Error,
  ): RelayError {
    return new RelayError(peer, failure, detail, cause);
  }

  /** Whether the server's address has refused the other VM's connection. */
  get isServerRefused(): boolean {
    return this.failure === "server_refused";
  }

  /** Whether the other VM could not be used, whatever the server does. */
  get isRelayFault(): boolean {
    return this.failure !== "server_refused" &&
      this.failure !== "server_silent";
  }
}

/** Called with the open connection or with the error. */
export type RelayCallback = (
  error: RelayError | null,
  socket?: Socket,
) => void;

/** See the module's comment. */
export class RelayConnector {
  private constructor(private readonly identity: PeerIdentity) {}

  /** Creates a connector for the process with this identity. */
  static create(identity: PeerIdentity): RelayConnector {
    return new RelayConnector(identity);
  }

  /**
   * Opens a connection. Calls `callback` exactly once, after 400 ms at the
   * latest.
   */
  open(target: RelayTarget, callback: RelayCallback): void {
    const { relay } = target;
    const socket = RelayedSocket.create((answer) =>
      end(
        answer.kind === "relay.opened"
          ? null
          : RelayError.of(relay, answer.why, answer.why),
      )
    );
    const end = (error: RelayError | null) => {
      clearTimeout(timer);
      socket.removeAllListeners();
      // An error may arrive before the caller listens.
      socket.on("error", () => {});
      if (error === null) return callback(null, socket);
      socket.destroy();
      callback(error);
    };
    const fail = (detail: string, cause?: Error) =>
      end(RelayError.of(relay, null, detail, cause));
    const timer = setTimeout(() => fail("timed out"), OPEN_TIMEOUT);
    socket.once("error", (error) => fail(error.message, error));
    socket.once("close", () => fail("connection closed"));
    try {
      socket.setNoDelay(true);
      socket.connect(parseAddress(relay));
      socket.write(encodeFrame(this.#openFrame(target)));
    } catch (error) {
      fail("invalid address", error as Error);
    }
  }

  #openFrame({ server, address, responseTimeout }: RelayTarget) {
    const { vm, peerAddress } = this.identity;
    return {
      kind: "relay.open",
      protocol: PROTOCOL_VERSION,
      vm,
      peerAddress,
      server,
      address,
      responseTimeout,
      takesFrames: true,
    };
  }
}
