/**
 * Messages between entry processes over TCP. Each process opens a connection of
 * its own to every peer that it has something to say to; a lost message is
 * nothing that the core does not expect.
 *
 * @module
 */
import { createServer, type Server, Socket } from "node:net";
import { z } from "zod";
import { type Message, messageSchema } from "../core/index.ts";
import { type Journal } from "../logging/index.ts";
import { parseAddress } from "../settings/index.ts";
import type { EventSink } from "./event_loop.ts";
import { encodeFrame, FrameDecoder } from "./frame.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import { errorText } from "./step_error.ts";

/** The first frame of a connection: who speaks. */
const helloSchema = z.object({
  kind: z.literal("hello"),
  cluster: z.string(),
  site: z.string(),
  vm: z.string(),
  peerAddress: z.string(),
});

type Hello = z.infer<typeof helloSchema>;

/** Who this process is towards its peers. */
export interface PeerIdentity {
  cluster: string;
  site: string;
  vm: string;
  peerAddress: string;
}

/** Bytes that may wait for one peer before messages to it are dropped. */
const MAXIMUM_PENDING = 8 * 1024 * 1024;
/** Time in which a connection must stand, in milliseconds. */
const CONNECT_TIMEOUT = 500;
/** Pause before a peer that refused is tried again. */
const RECONNECT_PAUSE = 100;

/** Counts of what went over the network. */
export interface PeerTraffic {
  messagesSent: number;
  bytesSent: number;
  bytesReceived: number;
  dropped: number;
}

/** See the module's comment. */
export class PeerNetwork {
  readonly #server: Server;
  readonly #outgoing = new Map<string, Socket>();
  readonly #incoming = new Set<Socket>();
  readonly #refusedAt = new Map<string, number>();
  readonly traffic: PeerTraffic = {
    messagesSent: 0,
    bytesSent: 0,
    bytesReceived: 0,
    dropped: 0,
  };

  private constructor(
    private readonly identity: PeerIdentity,
    private readonly sink: EventSink,
    private readonly journal: Journal,
  ) {
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** A network of which this process is `identity`. */
  static create(
    identity: PeerIdentity,
    sink: EventSink,
    journal: Journal,
  ): PeerNetwork {
    return new PeerNetwork(identity, sink, journal);
  }

  /** Accepts peers. Rejects when the address is in use. */
  listen(): Promise<void> {
    const { host, port } = parseAddress(this.identity.peerAddress);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  /** Sends a message, or drops it when the peer cannot be reached. */
  send(address: string, message: Message): void {
    const socket = this.#connection(address);
    if (socket === null || socket.writableLength > MAXIMUM_PENDING) {
      this.traffic.dropped += 1;
      return;
    }
    const frame = encodeFrame(message);
    this.traffic.messagesSent += 1;
    this.traffic.bytesSent += frame.length;
    socket.write(frame);
  }

  /** Closes all connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#outgoing.values()) socket.destroy();
    for (const socket of this.#incoming) socket.destroy();
  }

  #connection(address: string): Socket | null {
    const known = this.#outgoing.get(address);
    if (known !== undefined) return known;
    const refusedAt = this.#refusedAt.get(address) ?? -Infinity;
    if (monotonicNow() < refusedAt + RECONNECT_PAUSE) return null;
    const socket = new Socket();
    const { host, port } = parseAddress(address);
    socket.setNoDelay(true);
    socket.setTimeout(CONNECT_TIMEOUT, () => {
      if (socket.connecting) socket.destroy();
    });
    socket.on("connect", () => socket.setTimeout(0));
    socket.on("error", () => this.#refusedAt.set(address, monotonicNow()));
    socket.on("close", () => this.#outgoing.delete(address));
    socket.on("end", () => socket.destroy());
    socket.resume();
    socket.connect({ host, port });
    const { cluster, site, vm, peerAddress } = this.identity;
    socket.write(
      encodeFrame({ kind: "hello", cluster, site, vm, peerAddress }),
    );
    this.#outgoing.set(address, socket);
    return socket;
  }

  #accept(socket: Socket): void {
    const decoder = FrameDecoder.create();
    let hello: Hello | null = null;
    this.#incoming.add(socket);
    socket.setNoDelay(true);
    socket.on("close", () => this.#incoming.delete(socket));
    socket.on("error", () => socket.destroy());
    socket.on("data", (bytes) => {
      this.traffic.bytesReceived += bytes.length;
      try {
        for (const value of decoder.push(bytes)) {
          if (hello === null) hello = this.#greet(value);
          else this.#receive(hello, value);
        }
      } catch (error) {
        this.#cutOff(socket, hello, error);
      }
    });
  }

  #greet(value: unknown): Hello {
    const hello = helloSchema.parse(value);
    if (hello.cluster !== this.identity.cluster) {
      throw new Error(
        `expected a peer of cluster '${this.identity.cluster}', found '${hello.cluster}'`,
      );
    }
    return hello;
  }

  #receive({ vm, peerAddress }: Hello, value: unknown): void {
    this.sink.push({
      kind: "peer.received",
      now: monotonicNow(),
      from: vm,
      address: peerAddress,
      message: messageSchema.parse(value),
    });
  }

  #cutOff(socket: Socket, hello: Hello | null, error: unknown): void {
    socket.destroy();
    this.journal.write("warn", "peer.cut_off", {
      step: "receive from peer",
      peer: hello?.vm ?? `${socket.remoteAddress}:${socket.remotePort}`,
      why: errorText(error).slice(0, 500),
    });
  }
}
