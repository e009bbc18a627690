/**
 * Divides the minimum of the retry budget, which does not depend on the number
 * of requests, among the VMs that report to the term holder.
 *
 * A VM whose reports no longer arrive may use its share until the share expires,
 * and what it has used counts for {@linkcode RETENTION} after that. Its share is
 * granted again only then, so that the shares that count in any window add up to at most 1,
 * whichever VMs start, stop or are cut off. A new term holder does not know the
 * shares that its predecessor has granted and waits until none of them counts.
 *
 * @module
 */

/**
 * Maximum time for which one retry counts as on its way to a server, in
 * windows. A request that is in flight for longer takes another one.
 */
export const MAXIMUM_TRANSIT = 0.5;
/** Time for which a retry counts after it was sent, in windows. */
export const RETENTION = 1 + MAXIMUM_TRANSIT;
/**
 * Time for which a VM may use a share after the report that was answered with
 * it, in milliseconds.
 */
export const SHARE_LIFETIME = 1_500;
/**
 * Part of the minimum that is divided equally. The rest is for VMs that report
 * for the first time before others' shares are reduced.
 */
const DIVIDED_PART = 0.5;

/** Time between two removals of what no longer counts, in milliseconds. */
const REMOVAL_INTERVAL = 500;

const MILLISECONDS_PER_SECOND = 1_000;

/** The share of one VM. */
interface Grant {
  share: number;
  /** When the share expires. */
  expiresAt: number;
  /** A larger share that the VM had before, and when that expired; or null. */
  former: { share: number; expiresAt: number } | null;
}

/** See the module's comment. Times are milliseconds. */
export class ShareLedger {
  readonly #grants = new Map<string, Grant>();
  readonly #retention: number;
  #grantsFrom = Infinity;
  #removedAt = -Infinity;

  private constructor(windowSeconds: number) {
    this.#retention = RETENTION * windowSeconds * MILLISECONDS_PER_SECOND;
  }

  /** Creates a ledger for windows of a length that grants nothing. */
  static create(windowSeconds: number): ShareLedger {
    return new ShareLedger(windowSeconds);
  }

  /** Starts a term: grants shares once those of earlier terms do not count. */
  startTerm(now: number): void {
    this.#grants.clear();
    this.#grantsFrom = now + SHARE_LIFETIME + this.#retention;
  }

  /** Renews the share of the VM at `address` and returns it; 0 for none. */
  renew(address: string, now: number): number {
    this.#removeExpired(now);
    const grant = this.#grants.get(address) ??
      { share: 0, expiresAt: now, former: null };
    this.#grants.set(address, grant);
    grant.expiresAt = now + SHARE_LIFETIME;
    if (now < this.#grantsFrom) return 0;
    this.#adjust(grant, now);
    return grant.share;
  }

  /** Brings a share closer to an equal one. */
  #adjust(grant: Grant, now: number): void {
    const equalShare = DIVIDED_PART / this.#grants.size;
    if (equalShare > grant.share) {
      const others = [...this.#grants.values()].filter((each) => each !== grant)
        .reduce((sum, each) => sum + this.#counted(each, now), 0);
      const available = Math.max(0, 1 - others);
      grant.share = Math.max(grant.share, Math.min(equalShare, available));
    } else if (equalShare < grant.share && grant.former === null) {
      grant.former = { share: grant.share, expiresAt: now + SHARE_LIFETIME };
      grant.share = equalShare;
    }
  }

  /** The largest share of a VM that still counts. */
  #counted({ share, former }: Grant, now: number): number {
    if (former === null || now >= former.expiresAt + this.#retention) {
      return share;
    }
    return Math.max(share, former.share);
  }

  #removeExpired(now: number): void {
    if (now - this.#removedAt < REMOVAL_INTERVAL) return;
    this.#removedAt = now;
    for (const [address, grant] of this.#grants) {
      const { former, expiresAt } = grant;
      if (now >= expiresAt + this.#retention) this.#grants.delete(address);
      if (former !== null && now >= former.expiresAt + this.#retention) {
        grant.former = null;
      }
    }
  }
}
