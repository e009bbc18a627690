/**
 * Asks other VMs for what the store would tell, while it cannot be reached: a
 * process that has just started knows nothing, and one that is cut off falls
 * behind.
 *
 * @module
 */
import type { Knowledge, PeerSend, QuarantineWord } from "./peer_message.ts";

/** Pause between requests, in milliseconds. A process that starts serves
 * nobody until one is answered; one that is cut off can wait longer. */
const START_PAUSE = 400;
const CATCH_UP_PAUSE = 1_500;

/** See the module's comment. */
export class StateRequest {
  #askedAt = -Infinity;

  private constructor(private readonly seeds: readonly string[]) {}

  /** Asks the VMs at `seeds`, and the term holder. */
  static create(seeds: readonly string[]): StateRequest {
    return new StateRequest(seeds);
  }

  /**
   * The requests that are due. `isEmpty` when nothing is known here, `isCutOff`
   * when the store does not answer; `question` asks for what is held back.
   */
  advance(
    now: number,
    known: Knowledge,
    question: QuarantineWord,
    holder: string | null,
    isEmpty: boolean,
    isCutOff: boolean,
  ): PeerSend[] {
    if (!isEmpty && !isCutOff) return [];
    const pause = isEmpty ? START_PAUSE : CATCH_UP_PAUSE;
    if (now - this.#askedAt < pause) return [];
    this.#askedAt = now;
    const addresses = new Set(isEmpty ? this.seeds : []);
    if (holder !== null) addresses.add(holder);
    return [...addresses].map((address) => ({
      kind: "peer.send",
      address,
      message: {
        kind: "state.wanted",
        ...known,
        quarantine: question,
        takesParts: true,
      },
    }));
  }
}
