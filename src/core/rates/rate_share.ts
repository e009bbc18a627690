/**
 * Spaces the requests of one VM to a server, so that all VMs together stay
 * within a rate without coordination.
 *
 * Each VM sends at an equal share of the rate: the rate divided by the number
 * of VMs. Its first request is delayed by a random part of the interval, so
 * that VMs that learn of a server at the same time do not send to it at the
 * same time.
 *
 * @module
 */

/** Maximum number of servers for which the time of the next request is kept. */
const MAXIMUM_SERVERS = 1_024;

/** The time from which a request may be sent to a server. */
export interface Turn {
  at: number;
  /** When it was determined. */
  drawnAt: number;
}

/** See the module's comment. Times are milliseconds. */
export class RateShare {
  /** The next turn of each server, by the server's id. */
  readonly #turns = new Map<string, Turn>();

  private constructor(private readonly draw: () => number) {}

  /** Starts without past requests; `draw` returns random numbers in [0, 1). */
  static create(draw: () => number): RateShare {
    return new RateShare(draw);
  }

  /**
   * Whether this VM may send a request to a server now, at one request per
   * `interval` milliseconds. The first call for a server schedules its first
   * request.
   */
  maySend(server: string, interval: number, now: number): boolean {
    const known = this.#turns.get(server)?.at;
    // A time more than an interval ago is outdated: this VM has not sent to the
    // server for a while, or the rate limit has changed.
    if (known !== undefined && now < known + interval) return now >= known;
    if (this.#turns.size >= MAXIMUM_SERVERS) this.#evictOldest();
    const at = now + this.draw() * interval;
    this.#turns.set(server, { at, drawnAt: now });
    return false;
  }

  /** The next turn of a server, or null if none was drawn. */
  turn(server: string): Turn | null {
    return this.#turns.get(server) ?? null;
  }

  /** Records that a request was sent to a server. */
  requestSent(server: string, interval: number, now: number): void {
    this.#turns.set(server, { at: now + interval, drawnAt: now });
  }

  /** Removes the state of a server that no longer has a limit. */
  remove(server: string): void {
    this.#turns.delete(server);
  }

  #evictOldest(): void {
    const [oldest] = this.#turns.keys();
    this.#turns.delete(oldest);
  }
}
