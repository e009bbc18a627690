/**
 * A TCP proxy on the loopback network that injects network faults.
 *
 * @module
 */
import { createServer, type Server, Socket } from "node:net";
import { resetSocket } from "../../src/runtime/socket_reset.ts";
import { parseAddress } from "../../src/settings/index.ts";
import { loopbackAddress } from "../support/loopback_address.ts";

/**
 * What a proxy does with connections, including those that are already open.
 */
export type ProxyMode =
  | "pass"
  /** Buffers the bytes of both directions until the mode changes. */
  | "silence"
  /** Buffers the bytes of responses until the mode changes. */
  | "one_way"
  /** Delays the bytes of both directions. */
  | "delay"
  /** Resets open and new connections. */
  | "reset";

/** Delay of the mode `delay`, in milliseconds. */
const DELAY = 150;

/** A proxy in front of one address. */
export class LoopbackProxy {
  readonly address = loopbackAddress();
  readonly #server: Server;
  readonly #pipes = new Set<Pipe>();
  #mode: ProxyMode = "pass";

  private constructor(target: string) {
    this.#server = createServer((socket) => this.#connect(socket, target));
    const { host, port } = parseAddress(this.address);
    this.#server.listen(port, host);
  }

  /** Starts a proxy in front of `target`. */
  static create(target: string): LoopbackProxy {
    return new LoopbackProxy(target);
  }

  /** Changes the mode for open and new connections. */
  setMode(mode: ProxyMode): void {
    this.#mode = mode;
    for (const pipe of this.#pipes) {
      if (mode === "reset") pipe.reset();
      else pipe.flush();
    }
  }

  /** Stops the proxy and resets its connections. */
  close(): void {
    this.#server.close();
    for (const pipe of this.#pipes) pipe.reset();
  }

  #connect(client: Socket, target: string): void {
    if (this.#mode === "reset") {
      client.on("error", () => {});
      resetSocket(client);
      return;
    }
    const upstream = new Socket();
    upstream.connect(parseAddress(target));
    const request = new Pipe(client, upstream, () => this.#mode === "silence");
    const response = new Pipe(
      upstream,
      client,
      () => this.#mode === "silence" || this.#mode === "one_way",
    );
    for (const pipe of [request, response]) {
      this.#pipes.add(pipe);
      pipe.delay = () => this.#mode === "delay" ? DELAY : 0;
      upstream.once("close", () => this.#pipes.delete(pipe));
    }
  }
}

/** One direction of a proxied connection. */
class Pipe {
  delay: () => number = () => 0;
  #buffered: Buffer[] = [];
  #hasEnded = false;

  constructor(
    private readonly from: Socket,
    private readonly to: Socket,
    private readonly isBlocked: () => boolean,
  ) {
    from.on("data", (bytes: Buffer) => {
      this.#buffered.push(bytes);
      setTimeout(() => this.flush(), this.delay());
    });
    from.on("end", () => {
      this.#hasEnded = true;
      setTimeout(() => this.flush(), this.delay());
    });
    from.on("error", () => this.reset());
    from.on("close", () => this.flush());
  }

  /** Forwards the buffered bytes unless the direction is blocked. */
  flush(): void {
    if (this.isBlocked() || this.to.destroyed) return;
    for (const bytes of this.#buffered) this.to.write(bytes);
    this.#buffered = [];
    if (this.#hasEnded) this.to.end();
  }

  /** Resets the connections on both sides. */
  reset(): void {
    for (const socket of [this.from, this.to]) {
      if (!socket.destroyed) resetSocket(socket);
    }
  }
}
