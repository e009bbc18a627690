/**
 * Issues the permits to run a request that has crashed a server. Only one copy
 * of such a request may run at a time ({@linkcode RunPermits}).
 *
 * Permits are issued by the VM that was last announced as term holder, even if
 * its authority to give orders to servers has expired. That is safe because a
 * permit is no such order, and necessary because no VM keeps this authority for
 * long during an outage of the store. A new issuer does not know the permits of
 * the previous one, so it issues none until they have expired.
 *
 * @module
 */
import { MAXIMUM_PERMIT_DURATION, type PermitAnswer } from "./run_permits.ts";

/**
 * Number of consecutive copies with a permit that crashed a server, after which
 * no further permit is issued for the request until the last one has expired.
 * By then all VMs know of the crashes and have quarantined the request if it
 * causes them.
 */
const MAXIMUM_CONSECUTIVE_CRASHES = 2;
/** Maximum number of issued permits; limits memory. */
const MAXIMUM_PERMITS = 4_096;

interface IssuedPermit {
  /** Address of the VM that has the permit; null if it was released. */
  address: string | null;
  /** When it expires. */
  until: number;
  /** Number of consecutive copies with a permit that crashed a server. */
  crashes: number;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class PermitIssuer {
  /** Permits by the request's complete fingerprint. */
  readonly #issued = new Map<string, IssuedPermit>();
  /**
   * Time from which permits are issued; Infinity while the issuer is inactive.
   */
  #activeFrom = Infinity;

  private constructor() {}

  /** Creates an inactive issuer. */
  static create(): PermitIssuer {
    return new PermitIssuer();
  }

  /** Activates the issuer when this VM is announced as term holder. */
  activate(now: number): void {
    this.#issued.clear();
    this.#activeFrom = now + MAXIMUM_PERMIT_DURATION;
  }

  /** Deactivates the issuer when another VM is announced as term holder. */
  deactivate(): void {
    this.#issued.clear();
    this.#activeFrom = Infinity;
  }

  /**
   * Answers the VM at `address`, which requests a permit for `duration`
   * milliseconds. `request` is the complete fingerprint.
   */
  issue(
    request: string,
    address: string,
    duration: number,
    now: number,
  ): PermitAnswer {
    const activeIn = this.#activeFrom - now;
    if (activeIn > 0) {
      return {
        isGranted: false,
        left: Math.min(activeIn, MAXIMUM_PERMIT_DURATION),
      };
    }
    const issued = this.#issued.get(request);
    if (issued !== undefined && now < issued.until) {
      return { isGranted: false, left: issued.until - now };
    }
    if (this.#issued.size >= MAXIMUM_PERMITS) this.#removeExpired(now);
    if (this.#issued.size >= MAXIMUM_PERMITS) {
      return { isGranted: false, left: MAXIMUM_PERMIT_DURATION };
    }
    const left = Math.min(duration, MAXIMUM_PERMIT_DURATION);
    const crashes = issued?.crashes ?? 0;
    this.#issued.set(request, { address, until: now + left, crashes });
    return { isGranted: true, left };
  }

  /**
   * Releases the permit of the VM at `address`. `hasCrashed` states whether the
   * copy with the permit crashed a server.
   */
  release(request: string, address: string, hasCrashed: boolean): void {
    const issued = this.#issued.get(request);
    if (issued?.address !== address) return;
    if (!hasCrashed) {
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
