/**
 * Limits on the requests per second that all VMs together send to a server: the
 * rate limit that it reports, and the rate that operators permit while it is
 * cold. A server that has just started is slow, and crashes if it receives many
 * requests in a second.
 *
 * @module
 */
import type { Catalog } from "../catalog/index.ts";
import type { TrackedServer } from "../fleet/index.ts";

/** Limit on the requests to one server. */
export interface ServerLimit {
  /** Requests per second of all VMs together. */
  requestsPerSecond: number;
  /**
   * Whether the limit applies because the server is cold or may be. Otherwise
   * the server reports it.
   */
  isWarmUp: boolean;
  /**
   * When this VM learned of a warm-up, in milliseconds; -Infinity for a limit
   * that the server reports. VMs may have sent requests without a limit before.
   */
  since: number;
}

/** See the module's comment. Times are milliseconds. */
export class ServerLimits {
  private constructor(private readonly catalog: Catalog) {}

  /** Applies the warm-up rates in `catalog`. */
  static create(catalog: Catalog): ServerLimits {
    return new ServerLimits(catalog);
  }

  /** Returns the limit on the requests to a server now, or null. */
  of(server: TrackedServer, now: number): ServerLimit | null {
    const reported = server.rateLimit.current(now);
    const { warmUp } = this.catalog.service(server.entry.service) ?? {};
    if (warmUp !== undefined && server.isCold(now, warmUp.duration)) {
      const requestsPerSecond = Math.min(
        warmUp.requestsPerSecond,
        reported ?? Infinity,
      );
      return { requestsPerSecond, isWarmUp: true, since: server.coldSince };
    }
    if (reported === null) return null;
    return { requestsPerSecond: reported, isWarmUp: false, since: -Infinity };
  }
}
