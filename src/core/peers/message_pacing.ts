/**
 * Limits how often the term holder repeats large messages to a follower. A
 * message that a slow link or a busy holder delays is not sent again for every
 * report that the follower sends before the message arrives. The copies would
 * keep the link full, and the holder's answers would queue behind them until
 * the follower assumes that the holder has failed.
 *
 * @module
 */

/**
 * Time after which a message is sent again to a follower that still lacks it,
 * in milliseconds. A follower that lost the message with a failed connection
 * waits this long.
 */
const RESEND_DELAY = 900;

/** The last message sent to a follower. */
interface SentMessage {
  version: number;
  sentAt: number;
  /**
   * When the follower sent the report that caused the message, by its own
   * clock.
   */
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
   * Returns whether to send `version` now to a follower whose report was sent
   * at `reportSentAt` by its own clock, and if so records it as sent. The clock
   * starts with the process, so a `reportSentAt` before the last one means that
   * the follower has restarted and lacks what was sent previously.
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
