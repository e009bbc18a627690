/**
 * A vacancy is a set of slots taken from their owners by one view. It may be
 * granted again only when no router can still send to the old owner, and when
 * the old owner can start nothing that was sent before.
 *
 * @module
 */
import type { Position } from "../position.ts";

/** Why slots were taken from their owner. */
export type VacancyReason = "lost" | "leaving" | "removed" | "moved" | "opened";

/** One slot of a service. */
export interface SlotName {
  service: string;
  slot: number;
}

/** Facts about the members on which a vacancy's end depends. */
export interface VacancyProgress {
  now: number;
  /**
   * Every process that may hold a lease has adopted the view, and nothing that
   * it sent to an old owner can still start there.
   */
  drainedByAll: boolean;
  /** So many witnesses have adopted it that no older lease can be renewed. */
  blocked: boolean;
  /** Bound on any lease, in milliseconds. */
  leaseBound: number;
}

/** Slots without an owner and what they wait for. */
export class Vacancy {
  private constructor(
    readonly position: Position,
    readonly reason: VacancyReason,
    readonly slots: readonly SlotName[],
    /** Milliseconds after a last send in which the old owner may run it. */
    readonly settle: number,
    private blockedAt: number | null,
  ) {}

  /**
   * A vacancy that began with the view at `position`. `blockedAt` is given when
   * older leases are known to be no longer renewed since that time.
   */
  static create(
    position: Position,
    reason: VacancyReason,
    slots: readonly SlotName[],
    settle: number,
    blockedAt: number | null = null,
  ): Vacancy {
    return new Vacancy(position, reason, slots, settle, blockedAt);
  }

  /**
   * Whether the slots may be granted: all members have let go and drained, or a
   * majority has let go and both the others' leases and the settling time of
   * what they sent have passed.
   */
  isFree(progress: VacancyProgress): boolean {
    if (progress.drainedByAll) return true;
    if (progress.blocked) this.blockedAt ??= progress.now;
    if (this.blockedAt === null) return false;
    const end = this.blockedAt + progress.leaseBound + this.settle;
    return progress.now >= end;
  }
}
