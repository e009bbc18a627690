/**
 * Permits to run a request that has crashed a server, so that all VMs together
 * run one copy of it at a time.
 *
 * Callers send copies of a request through all VMs. While the server of its key
 * is unavailable, the copies are queued; afterwards all of them are sent to the
 * next server at once. Each crash would therefore affect several copies,
 * however low the crash limit of the quarantine is. So after the first crash
 * each copy needs a permit, until some VM receives a response to the request.
 * The term holder issues one permit for a request at a time
 * ({@linkcode PermitIssuer}); this module requests permits and stores those of
 * this VM.
 *
 * @module
 */
import * as z from "zod";

/**
 * Maximum validity of a permit, in milliseconds. A copy that a server runs for
 * longer may still be running when the next copy gets a permit.
 */
export const MAXIMUM_PERMIT_DURATION = 2_000;
/** Timeout of a permit request, in milliseconds. */
const ANSWER_TIMEOUT = 250;
/**
 * Maximum time for which a denial applies, in milliseconds. It is short because
 * the permit of the other copy may be released long before it expires, and
 * limits how often this VM repeats its permit request.
 */
const MAXIMUM_DENIAL = 200;
/**
 * Time after a permit request timed out in which it is not repeated, in
 * milliseconds.
 */
const TIMEOUT_PAUSE = 500;
/**
 * Maximum number of requests whose permits are kept. No permits are requested
 * for further ones.
 */
const MAXIMUM_PERMITS = 1_024;

/** Schema of {@linkcode PermitAnswer}. */
export const permitAnswerSchema = z.object({
  isGranted: z.boolean(),
  /** Milliseconds for which the permit is valid, or until one may be issued. */
  left: z.number().nonnegative(),
});

/** The issuer's answer to a permit request. */
export type PermitAnswer = z.infer<typeof permitAnswerSchema>;

/** Sends permit requests and releases of this VM to the issuer. */
export interface PermitChannel {
  /**
   * Requests a permit for a request by its complete fingerprint. Returns the
   * answer if it is available at once, or null if it will be passed to
   * {@linkcode RunPermits.applyAnswer}.
   */
  requestPermit(
    request: string,
    duration: number,
    now: number,
  ): PermitAnswer | null;
  /**
   * Releases a permit before it expires. `hasCrashed` states whether the copy
   * with the permit crashed a server.
   */
  release(request: string, hasCrashed: boolean): void;
}

/** Whether a copy of a request may run now. */
export type Permission =
  | { kind: "granted" }
  /** A permit request is pending; it times out at `until`. */
  | { kind: "asked"; until: number }
  /**
   * Another copy runs, or no issuer can rule that out. Applies for `left`
   * milliseconds.
   */
  | { kind: "denied"; left: number };

/** The permit of a copy, its permit request, or the denial of that request. */
interface Permit {
  /** Request id that the caller assigned to the copy. */
  copy: string;
  state: Permission["kind"];
  /**
   * When the permit expires, the permit request times out or the denial ends.
   */
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

  /**
   * Whether a copy may run for up to `duration` milliseconds; requests a permit
   * if necessary. `request` is the complete fingerprint, and `copy` is the
   * request id of the copy.
   */
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

  /** Applies the issuer's answer to a permit request. */
  applyAnswer(
    request: string,
    { isGranted, left }: PermitAnswer,
    now: number,
  ): void {
    const permit = this.#permits.get(request);
    if (permit?.state !== "asked") {
      // The copy ended, or the permit request timed out, in the meantime.
      if (isGranted) this.channel.release(request, false);
      return;
    }
    permit.state = isGranted ? "granted" : "denied";
    permit.until = now + (isGranted ? left : Math.min(left, MAXIMUM_DENIAL));
  }

  /**
   * Records the end of a copy, and releases its permit unless the copy may
   * still run on a server.
   */
  copyEnded(request: string, copy: string, mayStillRun: boolean): void {
    const permit = this.#permits.get(request);
    if (permit?.copy !== copy || permit.state === "denied") return;
    const isGranted = permit.state === "granted";
    if (isGranted && mayStillRun) return;
    this.#permits.delete(request);
    if (isGranted) this.channel.release(request, false);
  }

  /**
   * Records that a server crashed while it ran a copy, and releases the copy's
   * permit.
   */
  serverCrashed(request: string, copy: string): void {
    const permit = this.#permits.get(request);
    if (permit?.copy !== copy || permit.state !== "granted") return;
    this.#permits.delete(request);
    this.channel.release(request, true);
  }

  /**
   * Returns the permit of a request if it has not expired, or null. A permit
   * request that has timed out counts as denied for {@linkcode TIMEOUT_PAUSE}.
   */
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
    const permitted = Math.min(duration, MAXIMUM_PERMIT_DURATION);
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
