/**
 * Messages between entry processes over TCP. Whoever has something to say to a
 * peer opens a connection, and both use it; each side begins by saying who it
 * is. A lost message is nothing that the core does not
 * expect: what matters is said again.
 *
 * @module
 */
import { createServer, type Server, Socket } from "node:net";
import * as z from "zod";
import { type PeerMessage, peerMessageSchema } from "../core/peers/index.ts";
import { type Journal } from "../logging/index.ts";
import { parseAddress } from "../settings/index.ts";
import type { OccurrenceSink } from "./entry_loop.ts";
import { encodeFrame, FrameDecoder, PROTOCOL } from "./frame.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import { errorText } from "../errors/index.ts";
import { listenAt } from "./listen.ts";

/** The first frame of a connection: who speaks. */
const helloSchema = z.object({
  kind: z.literal("hello"),
  protocol: z.literal(PROTOCOL),
  vm: z.string(),
  peerAddress: z.string(),
  /** Whether frames to it may be deflated; VMs that have not been renewed yet leave
   * it out and take none. */
  takesDeflated: z.boolean().optional(),
});

type Hello = z.infer<typeof helloSchema>;

/** Who this process is towards its peers. */
export interface PeerIdentity {
  vm: string;
  peerAddress: string;
}

/** Bytes that may wait for one peer before messages to it are dropped. */
const MAXIMUM_PENDING = 8 * 1024 * 1024;
/** Time in which a connection must stand, in milliseconds. */
const CONNECT_TIMEOUT = 500;
/** Pause before a peer that refused is tried again. */
const RECONNECT_PAUSE = 100;
/** Time without a word from a peer that was sent something, in milliseconds,
 * after which its connection counts as dead though nothing reset it: the term
 * holder and its followers talk twice a second. */
const SILENCE = 1_500;
/** The same while the peer has not said anything over a connection: a new term
 * holder takes those of all VMs, one after the other, and another one in its
 * place would only wait behind them. */
const FIRST_SILENCE = 4_000;
/** Time after which a connection that neither side uses is closed, in
 * milliseconds; one that died in silence leaves its other end behind. */
const IDLE_TIMEOUT = 10_000;

/** Counts of what went over the network. */
export interface PeerTraffic {
  messagesSent: number;
  bytesSent: number;
  bytesReceived: number;
  dropped: number;
  /** Bytes sent, by kind of message. */
  bytesByKind: Map<string, number>;
}

/** See the module's comment. */
export class PeerNetwork {
  readonly #server: Server;
  /** The connection to use for each peer, by the peer's address. */
  readonly #connections = new Map<string, Socket>();
  readonly #sockets = new Set<Socket>();
  readonly #refusedAt = new Map<string, number>();
  /** When the first message was sent since the peer was heard last. */
  readonly #unansweredSince = new Map<Socket, number>();
  /** Connections over which the peer has said something. */
  readonly #heard = new WeakSet<Socket>();
  /** Connections whose peer takes deflated frames. */
  readonly #deflating = new WeakSet<Socket>();
  /** Frames of messages that go to several peers: plain, and deflated for those
   * that take it. */
  readonly #frames = new WeakMap<PeerMessage, Map<boolean, Buffer>>();
  readonly traffic: PeerTraffic = {
    messagesSent: 0,
    bytesSent: 0,
    bytesReceived: 0,
    dropped: 0,
    bytesByKind: new Map(),
  };

  private constructor(
    private readonly identity: PeerIdentity,
    private readonly sink: OccurrenceSink,
    private readonly journal: Journal,
  ) {
    this.#server = createServer((socket) => this.#attach(socket));
  }

  /** A network of which this process is `identity`. */
  static create(
    identity: PeerIdentity,
    sink: OccurrenceSink,
    journal: Journal,
  ): PeerNetwork {
    return new PeerNetwork(identity, sink, journal);
  }

  /** Accepts peers. Rejects when the address is in use. */
  listen(): Promise<void> {
    return listenAt(this.#server, this.identity.peerAddress);
  }

  /** Sends a message, or drops it when the peer cannot be reached. */
  send(address: string, message: PeerMessage): void {
    const socket = this.#liveConnection(address);
    if (socket === null || socket.writableLength > MAXIMUM_PENDING) {
      this.traffic.dropped += 1;
      return;
    }
    const frame = this.#encode(message, this.#deflating.has(socket));
    this.traffic.messagesSent += 1;
    this.traffic.bytesSent += frame.length;
    const { bytesByKind } = this.traffic;
    const before = bytesByKind.get(message.kind) ?? 0;
    bytesByKind.set(message.kind, before + frame.length);
    if (!this.#unansweredSince.has(socket)) {
      this.#unansweredSince.set(socket, monotonicNow());
    }
    socket.write(frame);
  }

  /** A connection on which the peer has not gone silent. */
  #liveConnection(address: string): Socket | null {
    const socket = this.#connection(address);
    if (socket === null) return null;
    const since = this.#unansweredSince.get(socket) ?? Infinity;
    const patience = this.#heard.has(socket) ? SILENCE : FIRST_SILENCE;
    if (monotonicNow() - since <= patience) return socket;
    this.journal.write("warn", "peer.silent", {
      step: "send to peer",
      peer: address,
      silence: Math.round(monotonicNow() - since),
    });
    this.#connections.delete(address);
    socket.destroy();
    return this.#connection(address);
  }

  /** The frame of a message; one that goes to many is encoded once. */
  #encode(message: PeerMessage, mayDeflate: boolean): Buffer {
    const frames = this.#frames.get(message) ?? new Map<boolean, Buffer>();
    this.#frames.set(message, frames);
    const frame = frames.get(mayDeflate) ?? encodeFrame(message, mayDeflate);
    frames.set(mayDeflate, frame);
    return frame;
  }

  /** Closes all connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #connection(address: string): Socket | null {
    const known = this.#connections.get(address);
    if (known !== undefined) return known;
    const refusedAt = this.#refusedAt.get(address) ?? -Infinity;
    if (monotonicNow() < refusedAt + RECONNECT_PAUSE) return null;
    const socket = new Socket();
    const { host, port } = parseAddress(address);
    socket.setTimeout(CONNECT_TIMEOUT);
    socket.on("error", () => this.#refusedAt.set(address, monotonicNow()));
    socket.connect({ host, port });
    this.#attach(socket);
    this.#use(address, socket);
    return socket;
  }

  /** Says who this process is, and takes in what the other side says. */
  #attach(socket: Socket): void {
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
      this.#heard.add(socket);
      this.#unansweredSince.delete(socket);
      try {
        for (const value of decoder.push(bytes)) {
          if (hello === null) {
            hello = helloSchema.parse(value);
            this.#use(hello.peerAddress, socket);
            if (hello.takesDeflated) this.#deflating.add(socket);
          } else {
            this.#receive(hello, value);
          }
        }
      } catch (error) {
        this.#cutOff(socket, hello, error);
      }
    });
    const { vm, peerAddress } = this.identity;
    const own: Hello = {
      kind: "hello",
      protocol: PROTOCOL,
      vm,
      peerAddress,
      takesDeflated: true,
    };
    socket.write(encodeFrame(own));
  }

  /** Sends to the peer at `address` over this connection from here on. */
  #use(address: string, socket: Socket): void {
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

  #cutOff(socket: Socket, hello: Hello | null, error: unknown): void {
    // A socket that is destroyed no longer knows its other side.
    const address = `${socket.remoteAddress}:${socket.remotePort}`;
    socket.destroy();
    this.journal.write("warn", "peer.cut_off", {
      step: "receive from peer",
      peer: hello?.vm ?? address,
      why: errorText(error).slice(0, 500),
    });
  }
}
