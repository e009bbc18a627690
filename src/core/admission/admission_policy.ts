/**
 * Decides on the arrival of a request, on each VM, whether it is admitted, by
 * the last answer of the term holder. Without an answer for some time, all
 * requests are admitted.
 *
 * ```ts
 * policy.replace(answer.admissions ?? [], now);
 * const denial = policy.check(request, meanLatency, now);
 * if (denial !== null) refuse(denial.reason);
 * ```
 *
 * @module
 */
import type { ReportedLoad } from "../fleet/index.ts";
import type { ServiceAdmission } from "../peers/peer_message.ts";

/** Time for which an answer counts, in milliseconds. */
const LIFETIME = 1_200;
/**
 * Time after a sign of full servers for which this VM reports more often, in
 * milliseconds: a regular interval between reports.
 */
const SIGN_LIFETIME = 500;
/**
 * Share of the target latency that is left for the network and for the
 * variation of the work when a request waits for a slot.
 */
const MARGIN_SHARE = 0.1;

/** What the policy needs to know of a request. Times are milliseconds. */
export interface AdmissionRequest {
  service: string;
  rank: number;
  arrivedAt: number;
  deadline: number;
  targetLatency: number;
}

/** Why a request is not admitted. */
export interface AdmissionDenial {
  reason: string;
  /** Threshold in force; null if the request lacks the time to wait. */
  threshold: number | null;
  /** Age of the answer with the threshold, in milliseconds. */
  age: number;
}

/** Requests that were not admitted. */
export interface DenialCount {
  service: string;
  priority: number;
  count: number;
}

/**
 * Whether a server that states this load with a response is full: as many
 * requests wait there as it has slots. The request of the response counts too,
 * since VMs send no further ones to a server with as many.
 */
export function isFull({ running, waiting, slots }: ReportedLoad): boolean {
  return running + waiting + 1 >= 2 * slots;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class AdmissionPolicy {
  #admissions = new Map<string, ServiceAdmission>();
  #receivedAt = -Infinity;
  #signAt = -Infinity;
  readonly #denials = new Map<string, DenialCount>();

  private constructor() {}

  /** Creates a policy that admits all requests. */
  static create(): AdmissionPolicy {
    return new AdmissionPolicy();
  }

  /** Replaces all admissions by those that the term holder has sent. */
  replace(admissions: readonly ServiceAdmission[], now: number): void {
    this.#admissions = new Map(admissions.map((each) => [each.service, each]));
    this.#receivedAt = now;
  }

  /** Admissions that are in force. */
  current(now: number): ServiceAdmission[] {
    return now - this.#receivedAt > LIFETIME
      ? []
      : [...this.#admissions.values()];
  }

  /** Records that a server has shown that it is full. */
  overloadSeen(now: number): void {
    this.#signAt = now;
  }

  /** Whether a service is above its capacity, or seems to be. */
  isBusy(now: number): boolean {
    return now - this.#signAt <= SIGN_LIFETIME || this.current(now).length > 0;
  }

  /**
   * Decides whether a request is admitted; null if it is. `meanLatency` is that
   * of the service's servers.
   */
  check(
    { service, rank, deadline }: AdmissionRequest,
    meanLatency: number,
    now: number,
  ): AdmissionDenial | null {
    const admission = this.#of(service, now);
    if (admission === null) return null;
    const { threshold = null, wait } = admission;
    const age = now - this.#receivedAt;
    if (threshold !== null && rank >= threshold) {
      const reason = "the service has more urgent requests than it can run";
      return { reason, threshold, age };
    }
    if (wait > 0 && deadline - now < wait + meanLatency) {
      const reason = "the request has less time than it would wait and run";
      return { reason, threshold: null, age };
    }
    return null;
  }

  /**
   * Time until which a request may wait for a slot so that a response within
   * its target is possible; null while no admission of the service is in force,
   * or if the request is not admitted.
   */
  waitEnd(
    request: AdmissionRequest,
    meanLatency: number,
    now: number,
  ): number | null {
    const { service, arrivedAt, targetLatency, deadline } = request;
    if (this.#of(service, now) === null) return null;
    if (this.check(request, meanLatency, now) !== null) return null;
    const margin = MARGIN_SHARE * targetLatency;
    return Math.min(deadline, arrivedAt + targetLatency - meanLatency - margin);
  }

  /** Counts a request that was not admitted. */
  denied(service: string, priority: number): void {
    const key = `${priority} ${service}`;
    const known = this.#denials.get(key);
    if (known !== undefined) known.count += 1;
    else this.#denials.set(key, { service, priority, count: 1 });
  }

  /** Requests that were not admitted, since the start of this process. */
  get denials(): readonly DenialCount[] {
    return [...this.#denials.values()];
  }

  #of(service: string, now: number): ServiceAdmission | null {
    if (now - this.#receivedAt > LIFETIME) return null;
    return this.#admissions.get(service) ?? null;
  }
}
