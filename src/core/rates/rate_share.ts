/**
 * One VM's equal share of a rate that all VMs must not exceed together, without
 * coordination between them.
 *
 * Each VM sends at the rate divided by the number of VMs. Its first request is delayed
 * by a random part of the interval, so that VMs that learn of a server at the same time
 * do not send to it at the same time.
 *
 * @module
 */

/** Maximum number of servers for which times are kept. */
const MAXIMUM_SERVERS = 1_024;

/** See the module's comment. Times are milliseconds. */
export class RateShare {
  /** When the next request may be sent to a server, by the server's id. */
  readonly #nextAt = new Map<string, number>();

  private constructor(private readonly draw: () => number) {}

  /** A share without past requests; `draw` gives numbers in [0, 1). */
  static create(draw: () => number): RateShare {
    return new RateShare(draw);
  }

  /** Whether this VM may send a request to a server now, at one request per `interval`. */
  maySend(server: string, interval: number, now: number): boolean {
    const known = this.#nextAt.get(server);
    // An older time belongs to an earlier limit of the server.
    if (known !== undefined && now < known + interval) return now >= known;
    if (this.#nextAt.size >= MAXIMUM_SERVERS) this.#evictOldest();
    this.#nextAt.set(server, now + this.draw() * interval);
    return false;
  }

  /** Records that a request was sent to a server. */
  started(server: string, interval: number, now: number): void {
    this.#nextAt.set(server, now + interval);
  }

  /** Discards the state of a server that no longer has a limit. */
  forget(server: string): void {
    this.#nextAt.delete(server);
  }

  #evictOldest(): void {
    const [oldest] = this.#nextAt.keys();
    this.#nextAt.delete(oldest);
  }
}
