/**
 * Limits the rate of requests that all VMs together send to a cold server.
 *
 * A server that has just started is cold: it is slow, and it crashes if it
 * receives many requests in a second. No VM knows how many requests the others
 * send, and a single request from each of 61 VMs at the same time is already
 * too many. So each VM sends at an equal share of the configured rate, and
 * delays its first request by a random part of the interval. A VM that learns
 * late of the server, or does not know the number of VMs, only sends less.
 *
 * @module
 */
import type { Catalog } from "../catalog/index.ts";
import type { TrackedServer } from "../fleet/index.ts";
import { RateShare, type Turn } from "../rates/index.ts";

/**
 * Number of VMs that are assumed to share a server while the actual number is
 * unknown. It is high, because too few requests are safer than too many.
 */
const ASSUMED_VM_COUNT = 64;

/** See the module's comment. Times are milliseconds. */
export class ColdAdmission {
  private constructor(
    private readonly catalog: Catalog,
    private readonly vmCount: () => number | null,
    private readonly rateShare: RateShare,
  ) {}

  /**
   * Enforces the warm-up rates in `catalog`, divided among `vmCount` VMs (null
   * when unknown); `draw` returns random numbers in [0, 1).
   */
  static create(
    catalog: Catalog,
    vmCount: () => number | null,
    draw: () => number,
  ): ColdAdmission {
    return new ColdAdmission(catalog, vmCount, RateShare.create(draw));
  }

  /** Whether requests to a server are limited because it is cold or may be. */
  isCold(server: TrackedServer, now: number): boolean {
    return this.#interval(server, now) !== null;
  }

  /** Whether this VM may send one more request to a server now. */
  maySend(server: TrackedServer, now: number): boolean {
    const interval = this.#interval(server, now);
    if (interval === null) return true;
    return this.rateShare.maySend(server.id, interval, now);
  }

  /**
   * Records that a request was sent to a server. Returns the turn that it used;
   * null if the server is not limited or no turn was drawn.
   */
  requestSent(server: TrackedServer, now: number): Turn | null {
    const interval = this.#interval(server, now);
    if (interval === null) {
      this.rateShare.remove(server.id);
      return null;
    }
    const turn = this.rateShare.turn(server.id);
    this.rateShare.requestSent(server.id, interval, now);
    return turn;
  }

  /**
   * Interval between requests of this VM to a server, in milliseconds; null if
   * the server is not cold or its service has no warm-up settings.
   */
  #interval(server: TrackedServer, now: number): number | null {
    const { warmUp } = this.catalog.service(server.entry.service) ?? {};
    if (warmUp === undefined || !server.isCold(now, warmUp.duration)) {
      return null;
    }
    return 1_000 * (this.vmCount() ?? ASSUMED_VM_COUNT) /
      warmUp.requestsPerSecond;
  }
}
