/**
 * How many requests one VM keeps in flight at one backend server. A server's
 * few slots are shared by all VMs without a word between them: each VM raises
 * its limit a little while answers come and lowers it when the server sheds.
 *
 * @module
 */

/** Factor by which a limit falls when the server sheds. */
const DECREASE = 0.7;
/** Time in which a limit falls at most once, in milliseconds. */
const DECREASE_INTERVAL = 50;

/** Additive increase, multiplicative decrease. */
export class ConcurrencyLimit {
  #decreasedAt = -Infinity;

  private constructor(private value: number, readonly maximum: number) {}

  /** A limit that starts at `initial` and stays within 1 and `maximum`. */
  static create(initial: number, maximum: number): ConcurrencyLimit {
    return new ConcurrencyLimit(Math.min(initial, maximum), maximum);
  }

  /** Requests that may be in flight. */
  get current(): number {
    return Math.max(1, Math.floor(this.value));
  }

  /** The server ran a request. */
  onSuccess(): void {
    this.value = Math.min(this.maximum, this.value + 1 / this.value);
  }

  /** The server shed a request. */
  onShed(now: number): void {
    if (now < this.#decreasedAt + DECREASE_INTERVAL) return;
    this.#decreasedAt = now;
    this.value = Math.max(1, this.value * DECREASE);
  }
}
