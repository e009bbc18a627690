/**
 * Limits a request under which a server crashed to one copy at a time in the whole
 * deployment.
 *
 * Callers send copies of a request through all VMs. While its key is unavailable the
 * copies are queued, and afterwards all of them are sent to the next server at once, so
 * each crash affects several copies, whatever number of crashes is tolerated. After the
 * first crash a copy therefore needs a permit, of which there is one at a time, until
 * the request has been answered on any VM. The term holder issues permits
 * ({@linkcode PermitIssuer}); this is the side of the requesting VM.
 *
 * @module
 */
import * as z from "zod";

/** Maximum validity of a permit, in milliseconds. A copy that a server runs for longer
 * without a response may overlap with the next copy. */
export const MAXIMUM_PERMIT = 2_000;
/** Timeout of a permit request, in milliseconds. */
const ANSWER_TIMEOUT = 250;
/** Maximum time for which a denial applies, in milliseconds. The permit may be released
 * long before it expires; this limits how often a VM requests it again. */
const MAXIMUM_DENIAL = 200;
/** Time after a permit request timed out in which it is not repeated, in milliseconds. */
const TIMEOUT_PAUSE = 500;
/** Maximum number of permits that are kept; no further ones are requested. */
const MAXIMUM_PERMITS = 1_024;

/** Schema of {@linkcode PermitAnswer}. */
export const permitAnswerSchema = z.object({
  isGranted: z.boolean(),
  /** Milliseconds for which the permit is valid, or until one may be issued. */
  left: z.number().nonnegative(),
});

/** The issuer's answer to a permit request. */
export type PermitAnswer = z.infer<typeof permitAnswerSchema>;

/** The connection of this VM to the issuer. */
export interface PermitChannel {
  /** Requests a permit for a request by its complete fingerprint. Returns the answer if
   * it is available at once, or null if it will be passed to
   * {@linkcode RunPermits.applyAnswer}. */
  requestPermit(
    request: string,
    duration: number,
    now: number,
  ): PermitAnswer | null;
  /** Releases a permit before it expires; `hasEnded` if the server crashed under the
   * copy. */
  release(request: string, hasEnded: boolean): void;
}

/** Whether a copy may run now. */
export type Permission =
  | { kind: "granted" }
  /** A permit request is pending; it times out at `until`. */
  | { kind: "asked"; until: number }
  /** Another copy runs, or the issuer did not answer; `left` in milliseconds. */
  | { kind: "denied"; left: number };

interface Permit {
  /** Request id that the caller assigned to the copy. */
  copy: string;
  state: Permission["kind"];
  until: number;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class RunPermits {
  /** Permits by the request's complete fingerprint. */
  readonly #permits = new Map<string, Permit>();

  private constructor(private readonly channel: PermitChannel) {}

  /** Starts without permits, which are requested over `channel`. */
  static create(channel: PermitChannel): RunPermits {
    return new RunPermits(channel);
  }

  /** Whether a copy, identified by its request id, may run for up to `duration`
   * milliseconds; requests a permit if necessary. */
  check(
    request: string,
    copy: string,
    duration: number,
    now: number,
  ): Permission {
    const permit = this.#current(request, now);
    if (permit === null) return this.#request(request, copy, duration, now);
    const isOwn = permit.copy === copy;
    const { state, until } = permit;
    if (state === "granted" && isOwn) return { kind: "granted" };
    if (state === "asked" && isOwn) return { kind: "asked", until };
    return { kind: "denied", left: until - now };
  }

  /** Applies the issuer's answer. */
  applyAnswer(
    request: string,
    { isGranted, left }: PermitAnswer,
    now: number,
  ): void {
    const permit = this.#permits.get(request);
    if (permit?.state !== "asked") {
      // The copy has ended in the meantime.
      if (isGranted) this.channel.release(request, false);
      return;
    }
    permit.state = isGranted ? "granted" : "denied";
    permit.until = now + (isGranted ? left : Math.min(left, MAXIMUM_DENIAL));
  }

  /** Records the end of a copy, and releases its permit unless the copy may still run on
   * a server. */
  ended(request: string, copy: string, mayStillRun: boolean): void {
    const permit = this.#permits.get(request);
    if (permit?.copy !== copy || permit.state === "denied") return;
    const isGranted = permit.state === "granted";
    if (isGranted && mayStillRun) return;
    this.#permits.delete(request);
    if (isGranted) this.channel.release(request, false);
  }

  /** Records that the server that ran a copy crashed, and releases the copy's permit. */
  serverEnded(request: string, copy: string): void {
    const permit = this.#permits.get(request);
    if (permit?.copy !== copy || permit.state !== "granted") return;
    this.#permits.delete(request);
    this.channel.release(request, true);
  }

  #current(request: string, now: number): Permit | null {
    const permit = this.#permits.get(request);
    if (permit === undefined) return null;
    if (now < permit.until) return permit;
    if (permit.state === "asked") {
      permit.state = "denied";
      permit.until = now + TIMEOUT_PAUSE;
      return permit;
    }
    this.#permits.delete(request);
    return null;
  }

  #request(
    request: string,
    copy: string,
    duration: number,
    now: number,
  ): Permission {
    if (this.#permits.size >= MAXIMUM_PERMITS) this.#removeExpired(now);
    if (this.#permits.size >= MAXIMUM_PERMITS) {
      return { kind: "denied", left: TIMEOUT_PAUSE };
    }
    const until = now + ANSWER_TIMEOUT;
    this.#permits.set(request, { copy, state: "asked", until });
    const permitted = Math.min(duration, MAXIMUM_PERMIT);
    const answer = this.channel.requestPermit(request, permitted, now);
    if (answer === null) return { kind: "asked", until };
    this.applyAnswer(request, answer, now);
    return answer.isGranted
      ? { kind: "granted" }
      : { kind: "denied", left: answer.left };
  }

  #removeExpired(now: number): void {
    for (const [request, { until }] of this.#permits) {
      if (now >= until) this.#permits.delete(request);
    }
  }
}
