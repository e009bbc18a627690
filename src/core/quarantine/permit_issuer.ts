/**
 * Issues the permits by which requests under which servers have ended run one copy at
 * a time ({@linkcode RunPermits}).
 *
 * It belongs to the VM that was last announced as term holder, with authority or
 * without: a permit orders no server to do anything, and while the store is out
 * nobody has authority for long. What the issuer before it has let run is not known,
 * so a new one issues nothing until that is over.
 *
 * @module
 */
import { LONGEST_PERMIT, type PermitAnswer } from "./run_permits.ts";

/** Ends of servers under copies with a permit after which the next one waits until the
 * permit's time is over: by then all VMs know of those ends, and hold the request back
 * if it is to blame. */
const TOLERATED_ENDS = 2;
/** Permits that are out at the most; bounds memory. */
const MAXIMUM_PERMITS = 4_096;

interface IssuedPermit {
  /** The VM that has it; null for nobody. */
  address: string | null;
  until: number;
  /** Servers that have ended under copies with it in a row. */
  ends: number;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class PermitIssuer {
  /** By the request's whole fingerprint. */
  readonly #issued = new Map<string, IssuedPermit>();
  #openAt = Infinity;

  private constructor() {}

  /** An issuer that has not begun. */
  static create(): PermitIssuer {
    return new PermitIssuer();
  }

  /** This VM is the issuer from now on. */
  begin(now: number): void {
    this.#issued.clear();
    this.#openAt = now + LONGEST_PERMIT;
  }

  /** Another VM is. */
  end(): void {
    this.#issued.clear();
    this.#openAt = Infinity;
  }

  /** The answer to the VM at `address`, which wants a permit for so long. */
  issue(
    request: string,
    address: string,
    duration: number,
    now: number,
  ): PermitAnswer {
    const openIn = this.#openAt - now;
    if (openIn > 0) {
      return { isGranted: false, left: Math.min(openIn, LONGEST_PERMIT) };
    }
    const issued = this.#issued.get(request);
    if (issued !== undefined && now < issued.until) {
      return { isGranted: false, left: issued.until - now };
    }
    if (this.#issued.size >= MAXIMUM_PERMITS) this.#forgetOver(now);
    if (this.#issued.size >= MAXIMUM_PERMITS) {
      return { isGranted: false, left: LONGEST_PERMIT };
    }
    const left = Math.min(duration, LONGEST_PERMIT);
    const ends = issued?.ends ?? 0;
    this.#issued.set(request, { address, until: now + left, ends });
    return { isGranted: true, left };
  }

  /** The VM at `address` needs its permit no longer; its server may have ended. */
  returned(request: string, address: string, hasEnded: boolean): void {
    const issued = this.#issued.get(request);
    if (issued?.address !== address) return;
    if (!hasEnded) {
      this.#issued.delete(request);
      return;
    }
    issued.address = null;
    issued.ends += 1;
    if (issued.ends < TOLERATED_ENDS) issued.until = -Infinity;
  }

  #forgetOver(now: number): void {
    for (const [request, { until }] of this.#issued) {
      if (now >= until) this.#issued.delete(request);
    }
  }
}
