/**
 * Connection to a server whose bytes are read at a limited pace; see
 * `read_lane.ts`.
 *
 * @module
 */
import {
  type NetConnectOpts,
  Socket,
  type SocketConstructorOpts,
} from "node:net";
import { readLane } from "./read_lane.ts";

/** See the module's comment. */
export class PacedSocket extends Socket {
  readonly #reads = readLane.open({
    deliver: (bytes) => super.push(bytes),
    resume: () => this.#resume(),
    isDestroyed: () => this.destroyed,
  });

  /** Whether the connection has ended behind the pending bytes. */
  #isEndPending = false;

  /** Subclasses receive bytes by {@linkcode receive}. */
  protected constructor(options?: SocketConstructorOpts) {
    super(options);
  }

  /** Opens a connection as `net.connect` does. */
  static connect(options: NetConnectOpts): PacedSocket {
    const socket = new PacedSocket(options);
    if (options.timeout !== undefined) socket.setTimeout(options.timeout);
    return socket.connect(options);
  }

  /** Whether bytes have been received that were not read. */
  get hasPendingBytes(): boolean {
    return this.#reads.isPending;
  }

  /** A new response is expected. */
  startResponse(): void {
    this.#reads.startResponse();
  }

  /** Called by Node with the bytes that arrive, and with null at their end. */
  override push(chunk: Buffer | null): boolean {
    if (chunk !== null) return this.receive(chunk);
    this.#isEndPending = this.#reads.isPending;
    return !this.#isEndPending && super.push(null);
  }

  /** Called by Node when more bytes may be read. */
  override _read(): void {
    if (this.#reads.unblock()) this.#resume();
  }

  /** Continues after the pending bytes. */
  #resume(): void {
    if (this.#isEndPending) super.push(null);
    else super._read(0);
  }

  /** Handles bytes of the server; returns whether more may be read. */
  protected receive(bytes: Buffer): boolean {
    return this.#reads.push(bytes);
  }
}
