/**
 * What one process of a backend server has stated of itself with its responses,
 * apart from its load. It outlasts the server's entry in the registry, which may
 * be removed and written again while the same process runs.
 *
 * @module
 */
import {
  type RateLimitChange,
  ReportedRateLimit,
} from "./reported_rate_limit.ts";
import type { ServerStatement } from "./server_statement.ts";

/** Minimum time between two log lines on an ignored header, in milliseconds. */
const IGNORED_LOG_INTERVAL = 60_000;
/** Minimum time between two log lines on backoffs, in milliseconds. */
const BACKOFF_LOG_INTERVAL = 1_000;
/**
 * Time without a backoff after which the next one begins a new series of
 * refusals, in milliseconds.
 */
const SERIES_GAP = 1_000;
/**
 * Duration of a series of refusals from which on another server should get the
 * keys, in milliseconds: keys should be served again within a second.
 */
const MAXIMUM_KEY_REFUSAL = 1_000;
/** Maximum number of headers whose log lines are limited separately. */
const MAXIMUM_HEADERS = 16;

/** What a statement has changed. */
export interface StatementChange {
  /** Whether a rate limit came into force or ended, or null. */
  rateLimit: RateLimitChange | null;
  /** Whether it is the first by which the server is leaving. */
  isLeaving: boolean;
  /** Whether it begins a backoff. */
  isBackoff: boolean;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class ProcessStatements {
  /** The rate limit that it reports. */
  readonly rateLimit = ReportedRateLimit.create();
  #leavingSince: number | null = null;
  /** Whether the term holder is known to know that it is leaving. */
  isLeavingShared = false;
  #backoffSince = -Infinity;
  #backoffUntil = -Infinity;
  /** Start of the series of refusals that the latest backoff belongs to. */
  #refusingSince = -Infinity;
  /** Until when it refuses the requests of another VM for its keys. */
  #refusesPeerUntil = -Infinity;
  #backoffLoggedAt = -Infinity;
  /** When a line on an ignored header was last logged, by its name. */
  readonly #loggedAt = new Map<string, number>();

  private constructor() {}

  /** Creates the state of a process that has stated nothing. */
  static create(): ProcessStatements {
    return new ProcessStatements();
  }

  /**
   * When this VM first knew that it is leaving, or null. A process that is
   * leaving remains so until it exits.
   */
  get leavingSince(): number | null {
    return this.#leavingSince;
  }

  /** Start of its latest backoff; -Infinity if it has requested none. */
  get backoffSince(): number {
    return this.#backoffSince;
  }

  /**
   * Until when it accepts no requests from this VM; -Infinity if it has
   * requested no backoff.
   */
  get backoffUntil(): number {
    return this.#backoffUntil;
  }

  /**
   * Until when it refuses requests for its keys in a series that is so long
   * that another server should get them; in the past if there is none. Includes
   * what it has stated to other VMs.
   */
  get refusesKeysUntil(): number {
    return Math.max(this.ownRefusalEnd, this.#refusesPeerUntil);
  }

  /** The same without what it has stated to other VMs. */
  get ownRefusalEnd(): number {
    const duration = this.#backoffUntil - this.#refusingSince;
    return duration > MAXIMUM_KEY_REFUSAL ? this.#backoffUntil : -Infinity;
  }

  /** Records that it refuses the requests of another VM for its keys. */
  recordPeerRefusal(until: number): void {
    this.#refusesPeerUntil = Math.max(this.#refusesPeerUntil, until);
  }

  /**
   * Applies what it stated with the response to a request or an order that was
   * sent at `sentAt`.
   */
  apply(
    { rateLimit, isLeaving, backoff }: ServerStatement,
    sentAt: number,
    now: number,
  ): StatementChange {
    return {
      rateLimit: rateLimit === undefined
        ? null
        : this.rateLimit.applyResponse(rateLimit, sentAt, now),
      isLeaving: isLeaving && this.recordLeaving(now),
      isBackoff: backoff !== null && this.#recordBackoff(backoff, now),
    };
  }

  /**
   * Records that it is leaving. Returns whether this VM did not know that
   * before.
   */
  recordLeaving(now: number): boolean {
    if (this.#leavingSince !== null) return false;
    this.#leavingSince = now;
    return true;
  }

  /** Whether a line on a backoff may be logged now; records it if so. */
  mayLogBackoff(now: number): boolean {
    if (now - this.#backoffLoggedAt < BACKOFF_LOG_INTERVAL) return false;
    this.#backoffLoggedAt = now;
    return true;
  }

  /** Records a backoff. Returns whether none was in force. */
  #recordBackoff(duration: number, now: number): boolean {
    if (duration === 0) return false;
    const isNew = now >= this.#backoffUntil;
    if (now >= this.#backoffUntil + SERIES_GAP) this.#refusingSince = now;
    if (isNew) this.#backoffSince = now;
    this.#backoffUntil = Math.max(this.#backoffUntil, now + duration);
    return isNew;
  }

  /** Whether a line on an ignored header may be logged now; records it if so. */
  mayLogIgnored(header: string, now: number): boolean {
    const loggedAt = this.#loggedAt.get(header) ?? -Infinity;
    if (now - loggedAt < IGNORED_LOG_INTERVAL) return false;
    if (this.#loggedAt.size >= MAXIMUM_HEADERS) return false;
    this.#loggedAt.set(header, now);
    return true;
  }
}
