/**
 * One caller's connection: which answers are still due on it, in the order of
 * their requests, and its end, which comes behind all of them.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { monotonicNow } from "./monotonic_clock.ts";

/** Longest time for which a connection that has ended on this side is read on,
 * in milliseconds. Bytes that reach a closed socket make the system throw away
 * what it has not sent yet: a caller that goes on sending would lose its last
 * answer. */
const LINGER_TIME = 2_000;

/** An answer that the system has not taken whole. */
interface DueAnswer {
  exchange: number;
  response: ServerResponse;
  /** Called when it can no longer be sent. */
  lost(): void;
}

/** See the module's comment. */
export class CallerConnection {
  readonly #due: DueAnswer[] = [];
  #isEnding = false;
  #isLingering = false;
  /** What is said behind the last answer, if anything. */
  #parting = "";
  /** When an answer was taken whole by the system last. */
  #sentAt = -Infinity;

  private constructor(
    readonly socket: Socket,
    private readonly ended: () => void,
  ) {
    // Node ends the other side as well, behind what it has been given: no answer
    // that is given from here on can be sent.
    socket.once("end", () => this.#left());
    socket.once("close", () => this.#closed());
    // Node calls this behind an answer that ends its connection.
    socket.destroySoon = () => this.#linger("");
  }

  /** Calls `ended` when the connection is gone. */
  static create(socket: Socket, ended: () => void): CallerConnection {
    return new CallerConnection(socket, ended);
  }

  /** Whether a further request could still be answered. One that is not taken
   * must not be passed on: its caller sends it again elsewhere. */
  get takesRequests(): boolean {
    return !this.#isEnding;
  }

  /** Answers that are due. */
  get due(): number {
    return this.#due.length;
  }

  /** The exchange whose answer is sent last, or null. */
  get last(): number | null {
    return this.#due.at(-1)?.exchange ?? null;
  }

  /** Whether something would be cut if the connection closed now. */
  get isBusy(): boolean {
    return this.#due.length > 0 || this.#isLingering;
  }

  /** A request was taken. Its answer is due behind those before it; `lost` is
   * called if the connection closes first. */
  add(exchange: number, response: ServerResponse, lost: () => void): void {
    this.#due.push({ exchange, response, lost });
    response.once("close", () => this.#passed(response));
  }

  /** Whether nothing is to be sent behind this answer, so that it may end the
   * connection: in sending order, which need not be the order of giving. */
  isLast(exchange: number): boolean {
    return this.last === exchange && this.#parting === "";
  }

  /** Takes no further request; ends once all that is due was sent and, behind
   * it, `parting`. */
  end(parting = ""): void {
    if (this.#isEnding) return;
    this.#isEnding = true;
    this.#parting = parting;
    if (this.#due.length > 0) return;
    const isSettled = monotonicNow() - this.#sentAt > LINGER_TIME;
    if (parting === "" && isSettled) this.socket.end();
    else this.#linger(parting);
  }

  /** An answer was sent whole, or its connection is gone. */
  #passed(response: ServerResponse): void {
    const index = this.#due.findIndex((each) => each.response === response);
    if (index < 0) return;
    const [{ lost }] = this.#due.splice(index, 1);
    this.#sentAt = monotonicNow();
    if (!response.writableFinished) lost();
    if (this.#due.length > 0 || !this.#isEnding) return;
    this.#linger(this.#parting);
  }

  /** Ends this side behind `parting` and waits for the caller to end its own. */
  #linger(parting: string): void {
    if (this.#isLingering || this.socket.destroyed) return;
    this.#isLingering = true;
    if (!this.socket.writableEnded) this.socket.end(parting);
    const timer = setTimeout(() => this.socket.destroy(), LINGER_TIME);
    this.socket.once("close", () => clearTimeout(timer));
  }

  #left(): void {
    this.#isEnding = true;
    // Node does it too, unless it has handed the connection over as a tunnel.
    this.socket.end();
    for (const { lost } of this.#due) lost();
  }

  /** Node does not tell of answers that stand behind one that was cut. */
  #closed(): void {
    this.#isEnding = true;
    this.#isLingering = false;
    for (const { lost } of this.#due.splice(0)) lost();
    this.ended();
  }
}
