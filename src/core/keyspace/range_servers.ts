/**
 * What the term holder knows of the servers that hold keys: whether one is
 * lost, is leaving, has restarted, may have been replaced, or has ended.
 *
 * A server keeps its id when it restarts. Its processes are told apart by their
 * incarnation and address.
 *
 * @module
 */
import type { Fleet } from "../fleet/index.ts";
import { KEY_COUNT } from "./assignment.ts";
import type { HeldRange } from "./held_range.ts";
import type { PendingOrder } from "./order_tracker.ts";

/**
 * Number of consecutive unanswered orders after which a server counts as lost.
 */
const FAILURES_UNTIL_LOST = 2;

/**
 * Time over which the releases of the keys of an evacuated zone are spread, in
 * milliseconds. Operators allow 5 s for an evacuation, so requests that run
 * when the last keys are released have time to end.
 */
const EVACUATION_SPREAD_TIME = 2_000;
/**
 * Multiplier of the hash that sets the position of a key in this time. It is
 * odd, so that adjacent keys, which are often busy together, are released at
 * different times.
 */
const HASH_MULTIPLIER = 40_503;

/** Identifies one process of a server by what its registry entry states. */
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

  /** Whether a server is listed and is not leaving. */
  isAvailable(server: string): boolean {
    const entry = this.fleet.get(server)?.entry;
    return entry !== undefined && !entry.isDraining &&
      this.fleet.get(server)!.evacuatedSince === null;
  }

  /**
   * Whether the release of the keys of a range is due because its server is
   * leaving. The keys of an evacuated zone are released one range after the
   * other. If they were released at once, they would all wait for running
   * requests together and be assigned to a few servers at the same time.
   */
  isReleaseDue({ server, first }: HeldRange, now: number): boolean {
    if (this.isAvailable(server!)) return false;
    const { entry, evacuatedSince } = this.fleet.get(server!) ?? {};
    if (entry === undefined || entry.isDraining) return true;
    const position = (first * HASH_MULTIPLIER % KEY_COUNT) / KEY_COUNT;
    return now >= evacuatedSince! + EVACUATION_SPREAD_TIME * position;
  }

  /** Whether enough consecutive orders for a range got no answer. */
  isUnresponsive({ failures }: HeldRange): boolean {
    return failures >= FAILURES_UNTIL_LOST;
  }

  /**
   * Whether the server of a range is lost. An overloaded server delays orders
   * like requests, so as long as any VM gets answers from it, its keys stay
   * there while its lease lasts.
   */
  isLost(range: HeldRange, now: number): boolean {
    if (!this.isUnresponsive(range)) return false;
    const aliveAt = this.fleet.get(range.server!)?.lastSeenAt ?? -Infinity;
    return aliveAt < range.failingSince || now >= range.leaseEnd;
  }

  /** Whether another server is listed at the address of a range. */
  isAddressReused({ address, server }: HeldRange): boolean {
    return address !== null && this.fleet.isReused(address, server!);
  }

  /**
   * Whether the server has restarted since it was last granted the keys. After
   * a restart it holds no keys and has no state, and no other server can hold
   * the keys.
   */
  isRestarted({ server, incarnation }: HeldRange): boolean {
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
   * Whether a refused order proves the same for another range of its server. It
   * does not if an order for that range ended after the refused order was sent,
   * since a newer process may have accepted it.
   */
  isEndProvenFor(
    range: HeldRange,
    { address, sentAt }: PendingOrder,
  ): boolean {
    return range.orderEndedAt <= sentAt && isGrantedOnlyAt(range, address);
  }

  /**
   * Records that the server process to which an order was sent has ended. The
   * record is kept while the server is listed.
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
   * Returns the servers of `ranges` that have left an order unanswered, and
   * those that have ended.
   */
  suspectedServers(ranges: Iterable<HeldRange>): Set<string> {
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
 * `address`. Another server found there proves nothing about a process at a
 * different address.
 */
function isGrantedOnlyAt({ addresses }: HeldRange, address: string): boolean {
  return addresses.every((each) => each === address);
}
