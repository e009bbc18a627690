/**
 * Lets a request under which a server has ended run alone in the whole deployment.
 *
 * Callers send copies of a request through all VMs, and an outage of its key gathers
 * them: all go to the next server in the same moment, and however many servers are
 * counted, each of their ends takes several copies along. So from the first end on a
 * copy needs a permit, of which there is one at a time, until the request has been
 * answered somewhere. The term holder issues it ({@linkcode PermitIssuer}); this is
 * the side of the VM that asks.
 *
 * @module
 */
import * as z from "zod";

/** Longest time for which one permit is good, in milliseconds. What a server that
 * does not answer does later can meet another copy. */
export const LONGEST_PERMIT = 2_000;
/** Time for which the answer to a question for a permit is awaited, in
 * milliseconds. */
const ANSWER_PATIENCE = 250;
/** Longest time for which a denial holds, in milliseconds: the permit may be back long
 * before its time, and a VM asks so often at the most. */
const LONGEST_DENIAL = 200;
/** Time for which a VM that got no answer does not ask again, in milliseconds. */
const UNANSWERED_PAUSE = 500;
/** Permits that are remembered at the most; more are not asked for. */
const MAXIMUM_PERMITS = 1_024;

/** Schema of {@linkcode PermitAnswer}. */
export const permitAnswerSchema = z.object({
  isGranted: z.boolean(),
  /** Milliseconds for which the permit is good, or in which none is issued. */
  left: z.number().nonnegative(),
});

/** What the issuer answers. */
export type PermitAnswer = z.infer<typeof permitAnswerSchema>;

/** How this VM reaches the issuer. */
export interface PermitChannel {
  /** Asks for a permit for a request by its whole fingerprint; returns the answer if
   * it is known at once, or null if {@linkcode RunPermits.told} brings it. */
  ask(request: string, duration: number, now: number): PermitAnswer | null;
  /** Gives a permit back before its time; `hasEnded` where the server ended under
   * the copy. */
  giveBack(request: string, hasEnded: boolean): void;
}

/** Whether a copy may run now. */
export type Permission =
  | { kind: "granted" }
  /** The answer is awaited until then. */
  | { kind: "asked"; until: number }
  /** Another copy runs, or nobody can tell. */
  | { kind: "denied"; left: number };

interface Permit {
  /** The caller's id of the copy that it is for. */
  copy: string;
  state: Permission["kind"];
  until: number;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class RunPermits {
  /** By the request's whole fingerprint. */
  readonly #permits = new Map<string, Permit>();

  private constructor(private readonly channel: PermitChannel) {}

  /** No permits yet; they are asked for over `channel`. */
  static create(channel: PermitChannel): RunPermits {
    return new RunPermits(channel);
  }

  /** Whether a copy, by its caller's id, may run for `duration` milliseconds at the
   * most; asks for a permit if need be. */
  check(
    request: string,
    copy: string,
    duration: number,
    now: number,
  ): Permission {
    const permit = this.#current(request, now);
    if (permit === null) return this.#ask(request, copy, duration, now);
    const isOwn = permit.copy === copy;
    const { state, until } = permit;
    if (state === "granted" && isOwn) return { kind: "granted" };
    if (state === "asked" && isOwn) return { kind: "asked", until };
    return { kind: "denied", left: until - now };
  }

  /** The issuer has answered. */
  told(
    request: string,
    { isGranted, left }: PermitAnswer,
    now: number,
  ): void {
    const permit = this.#permits.get(request);
    if (permit?.state !== "asked") {
      // Its copy has gone meanwhile.
      if (isGranted) this.channel.giveBack(request, false);
      return;
    }
    permit.state = isGranted ? "granted" : "denied";
    permit.until = now + (isGranted ? left : Math.min(left, LONGEST_DENIAL));
  }

  /** A copy is done with. Unless it may still run at a server its permit is given
   * back. */
  ended(request: string, copy: string, mayStillRun: boolean): void {
    const permit = this.#permits.get(request);
    if (permit?.copy !== copy || permit.state === "denied") return;
    const isGranted = permit.state === "granted";
    if (isGranted && mayStillRun) return;
    this.#permits.delete(request);
    if (isGranted) this.channel.giveBack(request, false);
  }

  /** The server has ended that ran a copy, which is over by that. */
  serverEnded(request: string, copy: string): void {
    const permit = this.#permits.get(request);
    if (permit?.copy !== copy || permit.state !== "granted") return;
    this.#permits.delete(request);
    this.channel.giveBack(request, true);
  }

  #current(request: string, now: number): Permit | null {
    const permit = this.#permits.get(request);
    if (permit === undefined) return null;
    if (now < permit.until) return permit;
    if (permit.state === "asked") {
      permit.state = "denied";
      permit.until = now + UNANSWERED_PAUSE;
      return permit;
    }
    this.#permits.delete(request);
    return null;
  }

  #ask(
    request: string,
    copy: string,
    duration: number,
    now: number,
  ): Permission {
    if (this.#permits.size >= MAXIMUM_PERMITS) this.#forgetOver(now);
    if (this.#permits.size >= MAXIMUM_PERMITS) {
      return { kind: "denied", left: UNANSWERED_PAUSE };
    }
    const until = now + ANSWER_PATIENCE;
    this.#permits.set(request, { copy, state: "asked", until });
    const most = Math.min(duration, LONGEST_PERMIT);
    const answer = this.channel.ask(request, most, now);
    if (answer === null) return { kind: "asked", until };
    this.told(request, answer, now);
    return answer.isGranted
      ? { kind: "granted" }
      : { kind: "denied", left: answer.left };
  }

  #forgetOver(now: number): void {
    for (const [request, { until }] of this.#permits) {
      if (now >= until) this.#permits.delete(request);
    }
  }
}
