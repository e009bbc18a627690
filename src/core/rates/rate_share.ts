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

/** See the module's comment. Times are milliseconds. */
export class RateShare {
  /** When the next request may be sent to a server, by the server's id. */
  readonly #nextAt = new Map<string, number>();

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
    const known = this.#nextAt.get(server);
    // A time more than an interval ago is outdated: this VM has not sent to the
    // server for a while, or the rate limit has changed.
    if (known !== undefined && now < known + interval) return now >= known;
    if (this.#nextAt.size >= MAXIMUM_SERVERS) this.#evictOldest();
    this.#nextAt.set(server, now + this.draw() * interval);
    return false;
  }

  /** Records that a request was sent to a server. */
  requestSent(server: string, interval: number, now: number): void {
    this.#nextAt.set(server, now + interval);
  }

  /** Removes the state of a server that no longer has a limit. */
  remove(server: string): void {
    this.#nextAt.delete(server);
  }

  #evictOldest(): void {
    const [oldest] = this.#nextAt.keys();
    this.#nextAt.delete(oldest);
  }
}
