/**
 * Spaces the requests of one VM to a server, so that all VMs together stay
 * within a rate without coordination.
 *
 * Each VM sends at an equal share of the rate: the rate divided by the number
 * of VMs. Its first request is delayed by a random part of the interval, so
 * that VMs that learn of a server at the same time do not send to it at the
 * same time. A turn that is not used in time lapses: after a pause in which no
 * VM could send, as many turns are usable as at any other time.
 *
 * @module
 */

/** Maximum number of servers for which the next turn is kept. */
const MAXIMUM_SERVERS = 1_024;
/** Time for which a turn may be used, in milliseconds. */
const TURN_LIFETIME = 1_000;

/** See the module's comment. Times are milliseconds. */
export class RateShare {
  /** Time from which a request may be sent to a server, by the server's id. */
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
    const at = this.#nextTurn(server, interval, now);
    this.#nextAt.set(server, at);
    return now >= at;
  }

  /** Records that a request was sent to a server. */
  requestSent(server: string, interval: number, now: number): void {
    this.#nextAt.set(server, now + interval);
  }

  /** Time of the first turn that has not lapsed. */
  #nextTurn(server: string, interval: number, now: number): number {
    const known = this.#nextAt.get(server);
    if (known === undefined) {
      if (this.#nextAt.size >= MAXIMUM_SERVERS) this.#evictOldest();
      return now + this.draw() * interval;
    }
    const lapsed = Math.floor((now - known - TURN_LIFETIME) / interval) + 1;
    return known + Math.max(0, lapsed) * interval;
  }

  #evictOldest(): void {
    const [oldest] = this.#nextAt.keys();
    this.#nextAt.delete(oldest);
  }
}
