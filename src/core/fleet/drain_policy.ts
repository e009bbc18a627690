/**
 * Until when requests are sent to servers that are leaving.
 *
 * @module
 */
import type { TrackedServer } from "./tracked_server.ts";

/**
 * Time for which requests are still sent to a draining server for its keys, in
 * milliseconds, while the keys are moved to other servers. The registry reports
 * the draining late, so this is a small part of the drain time.
 */
const DRAINING_KEY_GRACE = 700;
/**
 * The same for a server that has stated itself that it is leaving, as a share
 * of the drain time.
 */
const LEAVING_KEY_GRACE_SHARE = 0.9;
/**
 * Time for which requests are still sent to a server in an evacuated
 * availability zone for its keys, in milliseconds. It is longer than
 * {@linkcode DRAINING_KEY_GRACE}, because many keys move at the same time. All
 * VMs learn of an evacuation within 1 s, so the total stays within the 5 s that
 * operators allow for an evacuation.
 */
const EVACUATED_KEY_GRACE = 3_200;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class DrainPolicy {
  private constructor(private readonly drainTime: number) {}

  /**
   * Creates the policy for a drain time: a leaving server gets no request that
   * arrives later than `drainTime` milliseconds after it has stated so.
   */
  static create(drainTime: number): DrainPolicy {
    return new DrainPolicy(drainTime);
  }

  /**
   * Time until which requests are sent to a server for its keys; Infinity for a
   * server that is not leaving.
   */
  keysServedUntil(server: TrackedServer): number {
    const { drainingSince, evacuatedSince } = server;
    return Math.min(
      (drainingSince ?? Infinity) + DRAINING_KEY_GRACE,
      (evacuatedSince ?? Infinity) + EVACUATED_KEY_GRACE,
      this.#statedEnd(server),
    );
  }

  /**
   * Whether a server has stated that it is leaving, which its entry does not
   * show yet, and still gets requests for its keys.
   */
  isStillServing(server: TrackedServer, now: number): boolean {
    const { entry, statements } = server;
    return statements.leavingSince !== null && !entry.isDraining &&
      now < this.keysServedUntil(server);
  }

  /**
   * Whether a server has stated so long ago that it is leaving that it must get
   * no more requests, even if its keys cannot move.
   */
  isPastDrainTime(server: TrackedServer, now: number): boolean {
    return now > this.#statedEnd(server);
  }

  #statedEnd({ statements: { leavingSince } }: TrackedServer): number {
    return (leavingSince ?? Infinity) +
      LEAVING_KEY_GRACE_SHARE * this.drainTime;
  }
}
