/**
 * Limits how often large messages are repeated to followers. While a message is in
 * transit, delayed by a slow link or a busy holder, it is not sent again for every
 * report of a follower that still lacks it. Copies would keep the link full, and the
 * follower would conclude that the holder has failed, because the holder's answers
 * queue behind them.
 *
 * @module
 */

/** Time after which a message is sent again to a follower that still lacks it, in
 * milliseconds. This is how long a failed connection delays a follower. */
const RESEND_DELAY = 900;

interface SentMessage {
  version: number;
  sentAt: number;
  /** When the follower sent the answered report, by its own clock. */
  reportSentAt: number;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class MessagePacing {
  readonly #sent = new Map<string, SentMessage>();

  private constructor() {}

  /** Creates an instance that has sent no messages. */
  static create(): MessagePacing {
    return new MessagePacing();
  }

  /**
   * Returns whether to send `version` now to a follower whose report was sent at
   * `reportSentAt` by its own clock, and if so records it as sent. A `reportSentAt`
   * before the last one means that the follower's process has restarted and lacks what
   * was sent previously.
   */
  maySend(
    address: string,
    version: number,
    reportSentAt: number,
    now: number,
  ): boolean {
    const last = this.#sent.get(address);
    const isInFlight = last !== undefined && last.version === version &&
      reportSentAt >= last.reportSentAt && now - last.sentAt < RESEND_DELAY;
    if (isInFlight) return false;
    this.#sent.set(address, { version, sentAt: now, reportSentAt });
    return true;
  }
}
