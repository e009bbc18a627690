/**
 * What the term holder knows of the servers that have keys: whether one is lost,
 * leaves, has started again, may have been replaced, or has ended for good.
 *
 * @module
 */
import type { Fleet } from "../fleet/index.ts";
import { KEY_COUNT } from "./assignment.ts";
import type { HeldRange } from "./held_range.ts";
import type { PendingOrder } from "./order_book.ts";

/** Unanswered orders in a row after which a server counts as lost. */
const FAILURES_TO_LOSE = 2;

/** Time over which the keys of an evacuated zone leave its servers, in milliseconds:
 * well within the 5 s that operators grant, so that work on the last can end. */
const EVACUATION_TIME = 2_000;
/** Odd, so that neighbouring keys, which are busy together, leave apart. */
const TURN_FACTOR = 40_503;

/** A run of a server, as far as its entry tells it from others. */
interface Run {
  incarnation: number;
  address: string;
}

/** See the module's comment. Times are those of the holder's clock. */
export class RangeServers {
  /** Runs that have ended, by their servers' ids: entries of servers that are
   * gone stay for a while. */
  readonly #ended = new Map<string, Run>();

  private constructor(private readonly fleet: Fleet) {}

  /** Servers as `fleet` lists them, of which none is known to have ended. */
  static create(fleet: Fleet): RangeServers {
    return new RangeServers(fleet);
  }

  /** Address of a server as listed, or null. */
  address(server: string): string | null {
    return this.fleet.get(server)?.entry.address ?? null;
  }

  /** Incarnation of a server as listed; 0 where it is not known. */
  incarnation(server: string): number {
    return this.fleet.get(server)?.entry.incarnation ?? 0;
  }

  /** Whether a server is listed and does not leave. */
  isStaying(server: string): boolean {
    const entry = this.fleet.get(server)?.entry;
    return entry !== undefined && !entry.isDraining &&
      this.fleet.get(server)!.evacuatedSince === null;
  }

  /**
   * Whether the keys of a range have to leave its server now. Those of a zone that is
   * evacuated leave one after the other: all at once would wait together for the work
   * that runs on them, and come to few servers in one moment.
   */
  hasToLeave({ server, first }: HeldRange, now: number): boolean {
    if (this.isStaying(server!)) return false;
    const { entry, evacuatedSince } = this.fleet.get(server!) ?? {};
    if (entry === undefined || entry.isDraining) return true;
    const turn = (first * TURN_FACTOR % KEY_COUNT) / KEY_COUNT;
    return now >= evacuatedSince! + EVACUATION_TIME * turn;
  }

  /** Whether enough orders for a range were left unanswered in a row. */
  isUnanswering({ failures }: HeldRange): boolean {
    return failures >= FAILURES_TO_LOSE;
  }

  /**
   * Whether the server of a range has left orders unanswered. One that is full
   * lets orders wait like requests; as long as some VM gets answers from it, its
   * keys stay where they are while its lease runs.
   */
  isLost(range: HeldRange, now: number): boolean {
    if (!this.isUnanswering(range)) return false;
    const aliveAt = this.fleet.get(range.server!)?.aliveAt ?? -Infinity;
    return aliveAt < range.failingSince || now >= range.leaseEnd;
  }

  /** Whether another server is listed at the address of a range. */
  isReplaced({ address, server }: HeldRange): boolean {
    return address !== null && this.fleet.isReused(address, server!);
  }

  /** Whether the server has started again since it was last granted the keys. It
   * holds and knows nothing then, and no other server can have the keys. */
  isRestarted({ server, incarnation }: HeldRange): boolean {
    if (incarnation === 0 || !this.isStaying(server!)) return false;
    const current = this.incarnation(server!);
    return current !== 0 && current !== incarnation;
  }

  /**
   * Whether the refusal of an order shows that the run that has the range has
   * ended: it is listed nowhere else, and was granted the keys nowhere else.
   */
  isEndShown({ range, address }: PendingOrder): boolean {
    const listed = this.address(range.server!);
    return (listed === null || listed === address) &&
      isGrantedOnlyAt(range, address);
  }

  /** Whether a refused order shows the end also for another range of its server;
   * a later run may have taken what was ordered since. */
  isEndShownFor(range: HeldRange, { address, sentAt }: PendingOrder): boolean {
    return range.orderEndedAt <= sentAt && isGrantedOnlyAt(range, address);
  }

  /** Remembers that the run to which an order was sent has ended, as long as its
   * server is listed. */
  noteEnd({ range, address, incarnation }: PendingOrder): void {
    for (const id of this.#ended.keys()) {
      if (this.fleet.get(id) === undefined) this.#ended.delete(id);
    }
    this.#ended.set(range.server!, { incarnation, address });
  }

  /** Whether the run of a server that is listed is known to have ended. */
  hasEnded(server: string): boolean {
    const run = this.#ended.get(server);
    return run !== undefined && run.address === this.address(server) &&
      run.incarnation === this.incarnation(server);
  }

  /** Servers of `ranges` that have left an order unanswered, and those that have
   * ended. */
  suspects(ranges: Iterable<HeldRange>): Set<string> {
    const suspects = new Set(
      [...this.#ended.keys()].filter((id) => this.hasEnded(id)),
    );
    for (const { server, failures } of ranges) {
      if (server !== null && failures > 0) suspects.add(server);
    }
    return suspects;
  }
}

/** Whether all grants by which the server of a range may hold it went to
 * `address`: what is found there says nothing of a run elsewhere. */
function isGrantedOnlyAt({ addresses }: HeldRange, address: string): boolean {
  return addresses.every((each) => each === address);
}
