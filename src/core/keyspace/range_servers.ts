/**
 * State of the servers that hold keys, as known to the term holder: whether a
 * server is lost, is leaving, has restarted, has ended, or has an address at
 * which another server is listed too.
 *
 * A server keeps its id when it restarts. Its processes are told apart by their
 * incarnation and address.
 *
 * @module
 */
import type { Fleet } from "../fleet/index.ts";
import { KEY_COUNT } from "./assignment.ts";
import type { PendingOrder } from "./order_tracker.ts";
import type { TrackedRange } from "./tracked_range.ts";

/**
 * Number of consecutive unanswered orders after which a server counts as
 * unresponsive.
 */
const FAILURES_UNTIL_UNRESPONSIVE = 2;

/**
 * Time over which the releases of the keys of an evacuated zone are spread, in
 * milliseconds. Operators allow 5 s for an evacuation, so requests that run
 * when the last keys are released have time to end.
 */
const EVACUATION_SPREAD_TIME = 2_000;
/**
 * Multiplier of the hash that spreads the keys over this time. It is odd, so
 * that no two keys have the same hash, and close to `KEY_COUNT` divided by the
 * golden ratio, so that adjacent keys, which are often busy together, are
 * released at different times.
 */
const HASH_MULTIPLIER = 40_503;

/**
 * Time after the start of a backoff during which orders are still sent to the
 * server, in milliseconds, so that its leases last through the backoff.
 */
const BACKOFF_ORDER_TIME = 300;

/** Identifies one process of a server by fields of its registry entry. */
interface ServerProcess {
  incarnation: number;
  address: string;
}

/** State of the servers. Times are those of the term holder's clock. */
export class RangeServers {
  /**
   * Processes that are known to have ended, by server id. Their entries remain
   * in the registry for a while.
   */
  readonly #endedProcesses = new Map<string, ServerProcess>();

  private constructor(private readonly fleet: Fleet) {}

  /**
   * Creates the state of the servers in `fleet`, of which none is known to have
   * ended.
   */
  static create(fleet: Fleet): RangeServers {
    return new RangeServers(fleet);
  }

  /** Returns the listed address of a server, or null. */
  address(server: string): string | null {
    return this.fleet.get(server)?.entry.address ?? null;
  }

  /** Returns the listed incarnation of a server; 0 if unknown. */
  incarnation(server: string): number {
    return this.fleet.get(server)?.entry.incarnation ?? 0;
  }

  /**
   * Whether a server is listed, is not shutting down, and is not in an
   * evacuated zone.
   */
  isAvailable(server: string): boolean {
    return this.fleet.get(server)?.isLeaving === false;
  }

  /** Like `DrainPolicy.isStillServing`, by the id of the server. */
  isStillServing(server: string, now: number): boolean {
    const found = this.fleet.get(server);
    return found !== undefined &&
      this.fleet.drainPolicy.isStillServing(found, now);
  }

  /**
   * Time until which a server accepts no requests from this VM; in the past if
   * it has requested no backoff.
   */
  backoffUntil(server: string): number {
    return this.fleet.get(server)?.statements.backoffUntil ?? -Infinity;
  }

  /** Whether a server accepts no requests from this VM for now. */
  isBackedOff(server: string, now: number): boolean {
    return now < this.backoffUntil(server);
  }

  /**
   * Whether a server refuses requests for its keys in a series that is so long
   * that it has to release them now, which it can if orders may be sent to it.
   */
  isRefusingKeys(server: string, now: number): boolean {
    const statements = this.fleet.get(server)?.statements;
    if (statements === undefined || now >= statements.refusesKeysUntil) {
      return false;
    }
    return now >= statements.backoffUntil ||
      now < statements.backoffSince + BACKOFF_ORDER_TIME;
  }

  /**
   * Whether the server of a range is leaving and has to release it now. The
   * ranges of an evacuated zone are released one after the other. If all were
   * released at once, they would all wait for running requests at the same time
   * and then be assigned to a few servers together.
   */
  isReleaseDue({ server: id, first }: TrackedRange, now: number): boolean {
    const server = this.fleet.get(id!);
    if (server === undefined || server.isShuttingDown) return true;
    const { evacuatedSince } = server;
    if (evacuatedSince === null) return false;
    const position = (first * HASH_MULTIPLIER % KEY_COUNT) / KEY_COUNT;
    return now >= evacuatedSince + EVACUATION_SPREAD_TIME * position;
  }

  /**
   * Whether so many consecutive orders for a range got no answer that its
   * server counts as unresponsive.
   */
  isUnresponsive({ failures }: TrackedRange): boolean {
    return failures >= FAILURES_UNTIL_UNRESPONSIVE;
  }

  /**
   * Whether the server of a range is lost: it is unresponsive, and either no VM
   * has received a response from it since the first unanswered order, or its
   * lease has ended. An overloaded server answers orders as late as requests,
   * so as long as any VM receives responses from it, it keeps its keys until
   * its lease ends.
   */
  isLost(range: TrackedRange, now: number): boolean {
    if (!this.isUnresponsive(range)) return false;
    const lastSeenAt = this.fleet.get(range.server!)?.lastSeenAt ?? -Infinity;
    return lastSeenAt < range.failingSince || now >= range.leaseEnd;
  }

  /** Whether another server is listed at the address of a range. */
  isAddressReused({ address, server }: TrackedRange): boolean {
    return address !== null && this.fleet.isAddressReused(address, server!);
  }

  /**
   * Whether the server has restarted since it was last granted the keys. After
   * a restart it holds no keys and has no state, and no other server can hold
   * the keys.
   */
  isRestarted({ server, incarnation }: TrackedRange): boolean {
    if (incarnation === 0 || !this.isAvailable(server!)) return false;
    const current = this.incarnation(server!);
    return current !== 0 && current !== incarnation;
  }

  /**
   * Whether the refusal of an order proves that the server process that holds
   * the range has ended. This is so if the server is listed at no other address
   * and was granted the keys at no other address.
   */
  isEndProven({ range, address }: PendingOrder): boolean {
    const listed = this.address(range.server!);
    return (listed === null || listed === address) &&
      isGrantedOnlyAt(range, address);
  }

  /**
   * Whether the refusal of an order also proves that the process that holds
   * another range of the same server has ended. It does not if an order for
   * that range ended after the refused order was sent, because a newer process
   * may have accepted that one.
   */
  isEndProvenFor(
    range: TrackedRange,
    { address, sentAt }: PendingOrder,
  ): boolean {
    return range.orderEndedAt <= sentAt && isGrantedOnlyAt(range, address);
  }

  /**
   * Records that the process to which an order was sent has ended. The record
   * is kept while the server is listed.
   */
  recordEnd({ range, address, incarnation }: PendingOrder): void {
    for (const id of this.#endedProcesses.keys()) {
      if (this.fleet.get(id) === undefined) this.#endedProcesses.delete(id);
    }
    this.#endedProcesses.set(range.server!, { incarnation, address });
  }

  /** Whether the listed process of a server is known to have ended. */
  hasEnded(server: string): boolean {
    const ended = this.#endedProcesses.get(server);
    return ended !== undefined && ended.address === this.address(server) &&
      ended.incarnation === this.incarnation(server);
  }

  /**
   * Returns the ids of the servers of `ranges` that have left an order
   * unanswered, and of those that have ended.
   */
  suspectedServers(ranges: Iterable<TrackedRange>): Set<string> {
    const suspects = new Set(
      [...this.#endedProcesses.keys()].filter((id) => this.hasEnded(id)),
    );
    for (const { server, failures } of ranges) {
      if (server !== null && failures > 0) suspects.add(server);
    }
    return suspects;
  }
}

/**
 * Whether all grants by which the server of a range may hold it were sent to
 * `address`. That another server listens there proves nothing about a process
 * at a different address.
 */
function isGrantedOnlyAt(
  { addresses }: TrackedRange,
  address: string,
): boolean {
  return addresses.every((each) => each === address);
}
