/**
 * Keeps what all VMs together send to a cold server within what it bears.
 *
 * A server that has just started is slow, and ends when it gets many requests in a
 * second. No VM knows what the others send, and one request of each of 61 VMs at once
 * is too many already; so each takes its share of the rate that the configuration
 * names, and the first at a random moment of the time between two. VMs that learn of
 * the server late, or of each other, only send less.
 *
 * @module
 */
import type { Catalog } from "../catalog/index.ts";
import type { TrackedServer } from "../fleet/index.ts";
import { RateShare } from "../rates/index.ts";

/** VMs that are assumed to share a server while their number is unknown: rather too
 * few requests than too many from all of them. */
const UNKNOWN_VMS = 64;

/** See the module's comment. Times are milliseconds. */
export class ColdAdmission {
  private constructor(
    private readonly catalog: Catalog,
    private readonly vms: () => number | null,
    private readonly share: RateShare,
  ) {}

  /** Limits as `catalog` names them, shared by `vms` VMs; `draw` gives numbers in
   * [0, 1). */
  static create(
    catalog: Catalog,
    vms: () => number | null,
    draw: () => number,
  ): ColdAdmission {
    return new ColdAdmission(catalog, vms, RateShare.create(draw));
  }

  /** Whether a server is cold. */
  isCold(server: TrackedServer, now: number): boolean {
    return this.#pause(server, now) !== null;
  }

  /** Whether a server may get one more request of this VM now. */
  mayTake(server: TrackedServer, now: number): boolean {
    const pause = this.#pause(server, now);
    if (pause === null) return true;
    return this.share.mayTake(server.id, pause, now);
  }

  /** A request was sent to a server. */
  started(server: TrackedServer, now: number): void {
    const pause = this.#pause(server, now);
    if (pause === null) this.share.forget(server.id);
    else this.share.started(server.id, pause, now);
  }

  /** Time between two requests to a server; null for one that is not cold. */
  #pause(server: TrackedServer, now: number): number | null {
    const { warmUp } = this.catalog.service(server.entry.service) ?? {};
    if (warmUp === undefined || !server.isCold(now, warmUp.duration)) {
      return null;
    }
    return 1_000 * (this.vms() ?? UNKNOWN_VMS) / warmUp.requestsPerSecond;
  }
}
