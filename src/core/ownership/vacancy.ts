/**
 * A vacancy is a set of slots taken from their owners by one view. It may be
 * granted again only when no router can still send to the old owner, and when
 * the old owner can start nothing that was sent before.
 *
 * @module
 */
import type { Position } from "../position.ts";
import type { SlotChange } from "./view.ts";

/** Why slots were taken from their owner. */
export type VacancyReason = "lost" | "leaving" | "removed" | "moved" | "opened";

/** One slot of a service. */
export interface SlotName {
  service: string;
  slot: number;
}

/** What a vacancy is made of. */
export interface VacancyParts {
  /** The view that took the slots. */
  position: Position;
  reason: VacancyReason;
  slots: readonly SlotName[];
  /** Milliseconds after a last send in which the old owner may run it. */
  settle: number;
  /** Keys of the processes that may hold a lease on an older view. */
  waitingFor: Set<string>;
  /** Since when older leases are known not to be renewed, if they are. */
  blockedAt: number | null;
  /** Since when the slots wait. */
  since: number;
  /**
   * What the slots were, when their owners can have them back: nobody else was
   * granted them in between, so that the old grants hold as before.
   */
  undo: SlotChange[] | null;
}

/** Facts on which a vacancy's end depends. */
export interface VacancyProgress {
  now: number;
  /** Whether a process may still send to an old owner, or what it sent start. */
  isAwaited(member: string): boolean;
  /** Whether an older lease can no longer be renewed. */
  isBlocked(): boolean;
  /** Bound on any lease, in milliseconds. */
  leaseBound: number;
}

/** Slots without an owner and what they wait for. */
export class Vacancy {
  #blockedAt: number | null;

  private constructor(private readonly parts: VacancyParts) {
    this.#blockedAt = parts.blockedAt;
  }

  /** A vacancy that has just begun. */
  static create(parts: VacancyParts): Vacancy {
    return new Vacancy(parts);
  }

  /** The view that took the slots. */
  get position(): Position {
    return this.parts.position;
  }

  /** Since when the slots wait. */
  get since(): number {
    return this.parts.since;
  }

  /** What gives the slots back, if they can be. */
  get undo(): SlotChange[] | null {
    return this.parts.undo;
  }

  /** The slots that wait. */
  get slots(): readonly SlotName[] {
    return this.parts.slots;
  }

  /**
   * Whether the slots may be granted: all who may hold a lease have let go and
   * drained, or a majority has let go and both the others' leases and the
   * settling time of what they sent have passed.
   */
  isFree(progress: VacancyProgress): boolean {
    const { waitingFor, settle } = this.parts;
    for (const member of waitingFor) {
      if (progress.isAwaited(member)) break;
      waitingFor.delete(member);
    }
    if (waitingFor.size === 0) return true;
    if (this.#blockedAt === null && progress.isBlocked()) {
      this.#blockedAt = progress.now;
    }
    if (this.#blockedAt === null) return false;
    return progress.now >= this.#blockedAt + progress.leaseBound + settle;
  }
}
