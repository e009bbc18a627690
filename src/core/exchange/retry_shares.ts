/**
 * Grants and receives shares of the minimum of the retry budget. The VM that
 * has the authority of the term grants them with its answers to reports.
 *
 * @module
 */
import { SHARE_LIFETIME, ShareLedger } from "../rates/index.ts";

/**
 * Time after which the VM that grants the shares renews its own one, in
 * milliseconds.
 */
const OWN_RENEWAL_INTERVAL = 500;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class RetryShares {
  readonly #ledger: ShareLedger;
  /** Term for which the ledger grants shares. */
  #term: number | null = null;
  /** The share of this VM. */
  #granted = { share: 0, expiresAt: -Infinity };

  private constructor(
    windowSeconds: number,
    private readonly authorityTerm: (now: number) => number | null,
  ) {
    this.#ledger = ShareLedger.create(windowSeconds);
  }

  /**
   * Starts without a share. `windowSeconds` is the window of the retry budget,
   * `authorityTerm` returns the term of which this VM has the authority or null.
   */
  static create(
    windowSeconds: number,
    authorityTerm: (now: number) => number | null,
  ): RetryShares {
    return new RetryShares(windowSeconds, authorityTerm);
  }

  /** Share of the minimum that this VM may use now, from 0 to 1. */
  minimumShare(now: number): number {
    const { share, expiresAt } = this.#granted;
    return now < expiresAt ? share : 0;
  }

  /** Renews the share of the VM at `address`; 0 without the authority. */
  grant(address: string, now: number): number {
    const term = this.authorityTerm(now);
    if (term === null) return 0;
    if (term !== this.#term) this.#ledger.startTerm(now);
    this.#term = term;
    return this.#ledger.renew(address, now);
  }

  /** Renews the share of this VM at `address` if it has the authority. */
  renewOwn(address: string, now: number): void {
    const renewedAt = this.#granted.expiresAt - SHARE_LIFETIME;
    if (now < renewedAt + OWN_RENEWAL_INTERVAL) return;
    this.receive(this.grant(address, now), now, now);
  }

  /**
   * Applies the share that this VM was granted in an answer to the report that
   * it sent at `sentAt`. The holder has granted it after that.
   */
  receive(share: number, sentAt: number, now: number): void {
    const expiresAt = Math.min(sentAt, now) + SHARE_LIFETIME;
    this.#granted = { share, expiresAt };
  }
}
