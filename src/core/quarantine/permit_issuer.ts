/**
 * Issues the permits that limit a request under which a server crashed to one copy at a
 * time ({@linkcode RunPermits}).
 *
 * Permits are issued by the VM that was last announced as term holder, whether or not
 * its authority is still valid: a permit gives no order to a server, and during an
 * outage of the store no VM has authority for long. The permits of the previous issuer
 * are unknown, so a new issuer issues none until they have expired.
 *
 * @module
 */
import { MAXIMUM_PERMIT, type PermitAnswer } from "./run_permits.ts";

/** Number of consecutive crashes under copies with a permit after which the next copy
 * waits until the permit has expired. By then all VMs know of the crashes and have
 * quarantined the request if it causes them. */
const MAXIMUM_CONSECUTIVE_CRASHES = 2;
/** Maximum number of issued permits; limits memory. */
const MAXIMUM_PERMITS = 4_096;

interface IssuedPermit {
  /** Address of the VM that has the permit; null if it was released. */
  address: string | null;
  until: number;
  /** Number of consecutive crashes under copies with a permit. */
  crashes: number;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class PermitIssuer {
  /** Permits by the request's complete fingerprint. */
  readonly #issued = new Map<string, IssuedPermit>();
  #activeAt = Infinity;

  private constructor() {}

  /** An inactive issuer. */
  static create(): PermitIssuer {
    return new PermitIssuer();
  }

  /** Activates the issuer, once this VM is the announced term holder. */
  begin(now: number): void {
    this.#issued.clear();
    this.#activeAt = now + MAXIMUM_PERMIT;
  }

  /** Deactivates the issuer, once another VM is the announced term holder. */
  end(): void {
    this.#issued.clear();
    this.#activeAt = Infinity;
  }

  /** Answers the VM at `address`, which requests a permit for `duration` milliseconds. */
  issue(
    request: string,
    address: string,
    duration: number,
    now: number,
  ): PermitAnswer {
    const activeIn = this.#activeAt - now;
    if (activeIn > 0) {
      return { isGranted: false, left: Math.min(activeIn, MAXIMUM_PERMIT) };
    }
    const issued = this.#issued.get(request);
    if (issued !== undefined && now < issued.until) {
      return { isGranted: false, left: issued.until - now };
    }
    if (this.#issued.size >= MAXIMUM_PERMITS) this.#removeExpired(now);
    if (this.#issued.size >= MAXIMUM_PERMITS) {
      return { isGranted: false, left: MAXIMUM_PERMIT };
    }
    const left = Math.min(duration, MAXIMUM_PERMIT);
    const crashes = issued?.crashes ?? 0;
    this.#issued.set(request, { address, until: now + left, crashes });
    return { isGranted: true, left };
  }

  /** Releases the permit of the VM at `address`; `hasEnded` if the server crashed. */
  released(request: string, address: string, hasEnded: boolean): void {
    const issued = this.#issued.get(request);
    if (issued?.address !== address) return;
    if (!hasEnded) {
      this.#issued.delete(request);
      return;
    }
    issued.address = null;
    issued.crashes += 1;
    if (issued.crashes < MAXIMUM_CONSECUTIVE_CRASHES) issued.until = -Infinity;
  }

  #removeExpired(now: number): void {
    for (const [request, { until }] of this.#issued) {
      if (now >= until) this.#issued.delete(request);
    }
  }
}
