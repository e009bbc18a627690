/**
 * Era of the store: a number that the store states in its answers. It rises by
 * one when the store returns from a copy and has lost what it acknowledged
 * after that copy was made. What was read from the store, or recorded there, is
 * valid only in its era.
 *
 * @module
 */
import { MAXIMUM_ERA_STEP } from "../core/store_era_step.ts";

/** What an answer of the store states about its era. */
export type EraReading =
  | { kind: "stated"; era: number }
  /** The answer states no era, like all answers of older stores. */
  | { kind: "absent" }
  /** The era is not a whole number; `text` is what the answer contains. */
  | { kind: "invalid"; text: string };

/** A statement of the era that was ignored. */
export interface IgnoredEra {
  /** `absent`: an answer without an era, after others had stated one. */
  reason: "absent" | "invalid" | "lower" | "jump";
  /** What the answer stated, or null if nothing. */
  value: string | null;
}

/** Called when a newer era becomes known; `former` is null for the first one. */
type EraListener = (era: number, former: number | null) => void;
/** Called when a statement is ignored. */
type IgnoredListener = (ignored: IgnoredEra) => void;

/** See the module's comment. */
export class StoreEra {
  #current: number | null = null;
  /**
   * The first era if no answer without an era was accepted before it, or null.
   * Calls that were sent before it was known belong to it.
   */
  #initial: number | null = null;
  #hasAnswer = false;
  readonly #changeListeners: EraListener[] = [];
  #onIgnored: IgnoredListener = () => {};

  private constructor() {}

  /** Creates an instance that knows no era yet. */
  static create(): StoreEra {
    return new StoreEra();
  }

  /** The newest known era, or null while none is known. */
  get current(): number | null {
    return this.#current;
  }

  /** Calls `listener` for each newer era from now on. */
  onChange(listener: EraListener): void {
    this.#changeListeners.push(listener);
  }

  /** Calls `listener` for each statement that is ignored from now on. */
  onIgnored(listener: IgnoredListener): void {
    this.#onIgnored = listener;
  }

  /**
   * Records what the answer to a call states that was sent when `sentIn` was
   * the newest known era. Returns why the answer must not be used, or null if
   * it may be. An answer of another era than that in which the call was sent
   * proves nothing: its positions and conditions belong to records that may be
   * lost.
   */
  accept(reading: EraReading, sentIn: number | null): string | null {
    if (reading.kind === "invalid") {
      const { text } = reading;
      this.#onIgnored({ reason: "invalid", value: text });
      return `the era of the store is not a whole number: '${text}'`;
    }
    if (reading.kind === "absent") {
      if (this.#current !== null) {
        this.#onIgnored({ reason: "absent", value: null });
      }
      this.#hasAnswer = true;
      return this.#compare(sentIn);
    }
    const { era } = reading;
    if (this.#current !== null && era < this.#current) {
      this.#onIgnored({ reason: "lower", value: String(era) });
      return `era ${era} of the store is lower than ${this.#current}`;
    }
    if (!this.learn(era)) {
      return `era ${era} of the store is far above ${this.#current}`;
    }
    this.#hasAnswer = true;
    return this.#compare(sentIn);
  }

  /**
   * Records an era that is known to exist. Returns false if it is ignored, since
   * it is too far above the known one.
   */
  learn(era: number): boolean {
    const former = this.#current;
    if (former !== null && era <= former) return true;
    if (former !== null && era - former > MAXIMUM_ERA_STEP) {
      this.#onIgnored({ reason: "jump", value: String(era) });
      return false;
    }
    this.#current = era;
    if (former === null && !this.#hasAnswer) this.#initial = era;
    for (const listener of this.#changeListeners) listener(era, former);
    return true;
  }

  #compare(sentIn: number | null): string | null {
    const current = this.#current;
    const isSame = sentIn === current ||
      (sentIn === null && current === this.#initial);
    return isSame
      ? null
      : `the store has returned from a copy, era ${sentIn} became ${current}`;
  }
}
