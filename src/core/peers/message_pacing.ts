/**
 * Paces large messages to followers. One that is on its way, behind a small link or
 * a busy holder, is not sent again with each report of a follower that still lacks
 * it: copies would keep the link full, and the follower would take the holder,
 * whose answers wait behind them, for lost.
 *
 * @module
 */

/** Time after which a follower that still lacks what it was told is told it again,
 * in milliseconds. A connection that died costs a follower this long. */
const REPEAT_PAUSE = 900;

interface SentMessage {
  version: number;
  at: number;
  /** When the follower sent the report that this answered, by its own clock. */
  sentAt: number;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class MessagePacing {
  readonly #sent = new Map<string, SentMessage>();

  private constructor() {}

  /** Nobody was sent anything. */
  static create(): MessagePacing {
    return new MessagePacing();
  }

  /**
   * Whether a follower that reported at `sentAt`, by its own clock, is sent this
   * version now; from then on it counts as sent. A process that has started anew,
   * whose clock begins again, has not got what was sent before.
   */
  maySend(
    address: string,
    version: number,
    sentAt: number,
    now: number,
  ): boolean {
    const last = this.#sent.get(address);
    const isOnItsWay = last !== undefined && last.version === version &&
      sentAt >= last.sentAt && now - last.at < REPEAT_PAUSE;
    if (isOnItsWay) return false;
    this.#sent.set(address, { version, at: now, sentAt });
    return true;
  }
}
