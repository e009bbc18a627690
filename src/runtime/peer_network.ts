/**
 * Exchanges messages between entry processes over TCP. The process that sends
 * first opens a connection and both use it; each side starts with a hello
 * frame. Messages may be lost; the core resends those that must arrive.
 *
 * @module
 */
import { createServer, type Server, Socket } from "node:net";
import * as z from "zod";
import { type PeerMessage, peerMessageSchema } from "../core/peers/index.ts";
import { type Logger } from "../logging/index.ts";
import { parseAddress } from "../settings/index.ts";
import type { EventSink } from "./entry_loop.ts";
import { encodeFrame, FrameDecoder, PROTOCOL_VERSION } from "./frame.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import { errorText } from "../errors/index.ts";
import { listenAt } from "./listen.ts";
import { type RelayOpenFrame, relayOpenSchema } from "./relay_frame.ts";

/** First frame of a connection: identifies the sender. */
const helloSchema = z.object({
  kind: z.literal("hello"),
  protocol: z.literal(PROTOCOL_VERSION),
  vm: z.string(),
  peerAddress: z.string(),
  /**
   * Whether the sender accepts deflated frames. Older versions omit it and
   * accept none.
   */
  takesDeflated: z.boolean().optional(),
});

type Hello = z.infer<typeof helloSchema>;

/** Identity that this process sends to its peers. */
export interface PeerIdentity {
  vm: string;
  peerAddress: string;
}

/**
 * Maximum number of bytes queued for one peer; further messages to it are
 * dropped.
 */
const MAXIMUM_PENDING_BYTES = 8 * 1024 * 1024;
/** Connect timeout, in milliseconds. */
const CONNECT_TIMEOUT = 500;
/** Delay before reconnecting to a peer after an error, in milliseconds. */
const RECONNECT_DELAY = 100;
/**
 * Time without any bytes from a peer after a message to it, in milliseconds,
 * after which its connection counts as lost even without a reset. The term
 * holder and its followers exchange messages twice a second.
 */
const RESPONSE_TIMEOUT = 1_500;
/**
 * The same timeout for a connection on which the peer has not sent any bytes
 * yet. A new term holder accepts the connections of all VMs one after the
 * other, and a replacement connection would only be queued behind them.
 */
const FIRST_RESPONSE_TIMEOUT = 4_000;
/**
 * Time after which a connection without traffic is closed, in milliseconds. If
 * one side has replaced a connection that was lost without a reset, the other
 * side keeps it open until then.
 */
const IDLE_TIMEOUT = 10_000;

/** Traffic with all peers since the start. */
export interface PeerTraffic {
  messagesSent: number;
  bytesSent: number;
  bytesReceived: number;
  /** Messages that were dropped instead of sent. */
  dropped: number;
  /** Bytes sent, by kind of message. */
  bytesByKind: Map<string, number>;
}

/** Called with a connection and its first frame. */
export type RelayOpenHandler = (
  socket: Socket,
  request: RelayOpenFrame,
) => void;

/** See the module's comment. */
export class PeerNetwork {
  readonly #server: Server;
  /** The connection that is used for each peer, by the peer's address. */
  readonly #connections = new Map<string, Socket>();
  readonly #sockets = new Set<Socket>();
  /** When a connection to an address last had an error. */
  readonly #failedAt = new Map<string, number>();
  /** When the first message since the peer's last bytes was sent. */
  readonly #unansweredSince = new Map<Socket, number>();
  /** Connections on which the peer has sent bytes. */
  readonly #responsive = new WeakSet<Socket>();
  /** Connections whose peer accepts deflated frames. */
  readonly #deflateCapable = new WeakSet<Socket>();
  /**
   * Encoded frames of messages that are sent to several peers: for each
   * message, by whether the frame may be deflated.
   */
  readonly #encodedFrames = new WeakMap<PeerMessage, Map<boolean, Buffer>>();
  #onRelayOpen: RelayOpenHandler = (socket) => socket.destroy();
  readonly traffic: PeerTraffic = {
    messagesSent: 0,
    bytesSent: 0,
    bytesReceived: 0,
    dropped: 0,
    bytesByKind: new Map(),
  };

  private constructor(
    private readonly identity: PeerIdentity,
    private readonly sink: EventSink,
    private readonly logger: Logger,
  ) {
    this.#server = createServer((socket) => this.#addSocket(socket));
  }

  /** Creates a network that does not listen yet. */
  static create(
    identity: PeerIdentity,
    sink: EventSink,
    logger: Logger,
  ): PeerNetwork {
    return new PeerNetwork(identity, sink, logger);
  }

  /**
   * Passes connections that other VMs open to servers through this one to
   * `handler`; they are closed before this is called.
   */
  onRelayOpen(handler: RelayOpenHandler): void {
    this.#onRelayOpen = handler;
  }

  /** Accepts peers. Rejects if the address is in use. */
  listen(): Promise<void> {
    return listenAt(this.#server, this.identity.peerAddress);
  }

  /** Sends a message, or drops it if the peer cannot be reached. */
  send(address: string, message: PeerMessage): void {
    const socket = this.#liveConnection(address);
    if (socket === null || socket.writableLength > MAXIMUM_PENDING_BYTES) {
      this.traffic.dropped += 1;
      return;
    }
    const frame = this.#encode(message, this.#deflateCapable.has(socket));
    this.traffic.messagesSent += 1;
    this.traffic.bytesSent += frame.length;
    const { bytesByKind } = this.traffic;
    const previousBytes = bytesByKind.get(message.kind) ?? 0;
    bytesByKind.set(message.kind, previousBytes + frame.length);
    if (!this.#unansweredSince.has(socket)) {
      this.#unansweredSince.set(socket, monotonicNow());
    }
    socket.write(frame);
  }

  /**
   * Returns a connection to the peer, or null. Replaces one on which the peer
   * has not responded in time.
   */
  #liveConnection(address: string): Socket | null {
    const socket = this.#connection(address);
    if (socket === null) return null;
    const since = this.#unansweredSince.get(socket) ?? Infinity;
    const timeout = this.#responsive.has(socket)
      ? RESPONSE_TIMEOUT
      : FIRST_RESPONSE_TIMEOUT;
    if (monotonicNow() - since <= timeout) return socket;
    this.logger.write("warn", "peer.silent", {
      step: "send to peer",
      peer: address,
      silence: Math.round(monotonicNow() - since),
    });
    this.#connections.delete(address);
    socket.destroy();
    return this.#connection(address);
  }

  /**
   * Returns the frame of a message. A message to many peers is encoded once.
   */
  #encode(message: PeerMessage, mayDeflate: boolean): Buffer {
    const frames = this.#encodedFrames.get(message) ??
      new Map<boolean, Buffer>();
    this.#encodedFrames.set(message, frames);
    const frame = frames.get(mayDeflate) ?? encodeFrame(message, mayDeflate);
    frames.set(mayDeflate, frame);
    return frame;
  }

  /** Closes all connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /**
   * Returns the current connection to a peer or opens one. Returns null for a
   * short time after an error on a connection to the peer.
   */
  #connection(address: string): Socket | null {
    const existing = this.#connections.get(address);
    if (existing !== undefined) return existing;
    const failedAt = this.#failedAt.get(address) ?? -Infinity;
    if (monotonicNow() < failedAt + RECONNECT_DELAY) return null;
    const socket = new Socket();
    const { host, port } = parseAddress(address);
    socket.setTimeout(CONNECT_TIMEOUT);
    socket.on("error", () => this.#failedAt.set(address, monotonicNow()));
    socket.connect({ host, port });
    this.#addSocket(socket);
    this.#setConnection(address, socket);
    return socket;
  }

  /** Sends this process's hello and handles the frames of the other side. */
  #addSocket(socket: Socket): void {
    const decoder = FrameDecoder.create();
    let hello: Hello | null = null;
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    if (!socket.connecting) socket.setTimeout(IDLE_TIMEOUT);
    socket.on("connect", () => socket.setTimeout(IDLE_TIMEOUT));
    socket.on("timeout", () => socket.destroy());
    socket.on("close", () => {
      this.#sockets.delete(socket);
      this.#unansweredSince.delete(socket);
    });
    socket.on("end", () => socket.destroy());
    socket.on("error", () => socket.destroy());
    socket.on("data", (bytes) => {
      this.traffic.bytesReceived += bytes.length;
      this.#responsive.add(socket);
      this.#unansweredSince.delete(socket);
      try {
        for (const value of decoder.push(bytes)) {
          if (hello === null && isRelayOpen(value)) {
            return this.#handOver(socket, relayOpenSchema.parse(value));
          }
          if (hello === null) {
            hello = helloSchema.parse(value);
            this.#setConnection(hello.peerAddress, socket);
            if (hello.takesDeflated) this.#deflateCapable.add(socket);
          } else {
            this.#receive(hello, value);
          }
        }
      } catch (error) {
        this.#rejectConnection(socket, hello, error);
      }
    });
    const { vm, peerAddress } = this.identity;
    const ownHello: Hello = {
      kind: "hello",
      protocol: PROTOCOL_VERSION,
      vm,
      peerAddress,
      takesDeflated: true,
    };
    socket.write(encodeFrame(ownHello));
  }

  /** Passes on a connection that carries no messages. */
  #handOver(socket: Socket, request: RelayOpenFrame): void {
    socket.removeAllListeners();
    socket.once("close", () => this.#sockets.delete(socket));
    this.#unansweredSince.delete(socket);
    this.#onRelayOpen(socket, request);
  }

  /**
   * Uses this connection for messages to the peer at `address` from now on.
   */
  #setConnection(address: string, socket: Socket): void {
    if (this.#connections.get(address) === socket) return;
    this.#connections.set(address, socket);
    socket.on("close", () => {
      if (this.#connections.get(address) !== socket) return;
      this.#connections.delete(address);
    });
  }

  #receive({ peerAddress }: Hello, value: unknown): void {
    this.sink.push({
      kind: "peer.received",
      address: peerAddress,
      message: peerMessageSchema.parse(value),
    });
  }

  #rejectConnection(socket: Socket, hello: Hello | null, error: unknown): void {
    // A destroyed socket no longer has a remote address.
    const address = `${socket.remoteAddress}:${socket.remotePort}`;
    socket.destroy();
    this.logger.write("warn", "peer.cut_off", {
      step: "receive from peer",
      peer: hello?.vm ?? address,
      why: errorText(error).slice(0, 500),
    });
  }
}

/** Whether the first frame of a connection opens one to a server. */
function isRelayOpen(value: unknown): boolean {
  return (value as { kind?: unknown } | null)?.kind === "relay.open";
}
