/**
 * A TCP proxy on the loopback network that harms what goes through it.
 *
 * @module
 */
import { createServer, type Server, Socket } from "node:net";
import { parseAddress } from "../../src/settings/index.ts";
import { loopbackAddress } from "../support/loopback_address.ts";

/** What a proxy does to connections, also to those that are open. */
export type ProxyMode =
  | "pass"
  /** Bytes are held back both ways until it passes again. */
  | "silence"
  /** Bytes of answers are held back. */
  | "one_way"
  /** Bytes come later. */
  | "delay"
  /** Connections are reset, open and new ones. */
  | "reset";

/** Delay of the mode of that name, in milliseconds. */
const DELAY = 150;

/** See the module's comment. */
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

  /** A proxy in front of `target`. */
  static create(target: string): LoopbackProxy {
    return new LoopbackProxy(target);
  }

  /** Changes what happens to connections. */
  set(mode: ProxyMode): void {
    this.#mode = mode;
    for (const pipe of this.#pipes) {
      if (mode === "reset") pipe.reset();
      else pipe.flush();
    }
  }

  /** Ends everything. */
  close(): void {
    this.#server.close();
    for (const pipe of this.#pipes) pipe.reset();
  }

  #connect(near: Socket, target: string): void {
    if (this.#mode === "reset") {
      near.on("error", () => {});
      near.resetAndDestroy();
      return;
    }
    const far = new Socket();
    far.connect(parseAddress(target));
    const request = new Pipe(near, far, () => this.#mode === "silence");
    const answer = new Pipe(
      far,
      near,
      () => this.#mode === "silence" || this.#mode === "one_way",
    );
    for (const pipe of [request, answer]) {
      this.#pipes.add(pipe);
      pipe.delay = () => this.#mode === "delay" ? DELAY : 0;
      far.once("close", () => this.#pipes.delete(pipe));
    }
  }
}

/** One direction of a connection. */
class Pipe {
  delay: () => number = () => 0;
  #held: Buffer[] = [];
  #hasEnded = false;

  constructor(
    private readonly from: Socket,
    private readonly to: Socket,
    private readonly isHeld: () => boolean,
  ) {
    from.on("data", (bytes: Buffer) => {
      this.#held.push(bytes);
      setTimeout(() => this.flush(), this.delay());
    });
    from.on("end", () => {
      this.#hasEnded = true;
      setTimeout(() => this.flush(), this.delay());
    });
    from.on("error", () => this.reset());
    from.on("close", () => this.flush());
  }

  /** Passes on what is held back, unless it still has to be. */
  flush(): void {
    if (this.isHeld() || this.to.destroyed) return;
    for (const bytes of this.#held) this.to.write(bytes);
    this.#held = [];
    if (this.#hasEnded) this.to.end();
  }

  /** Resets both sides. */
  reset(): void {
    for (const socket of [this.from, this.to]) {
      if (!socket.destroyed) socket.resetAndDestroy();
    }
  }
}
