/**
 * Era of the store: a number that the store states in its answers. It rises by
 * one when the store returns from a copy and has lost what it acknowledged
 * after that copy was made.
 *
 * @module
 */

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

/** Called when answers state a newer era. */
type EraListener = (era: number) => void;
/** Called when a statement is ignored. */
type IgnoredListener = (ignored: IgnoredEra) => void;

/** See the module's comment. */
export class StoreEra {
  #current: number | null = null;
  #onChange: EraListener = () => {};
  #onIgnored: IgnoredListener = () => {};

  private constructor() {}

  /** Creates an instance that knows no era yet. */
  static create(): StoreEra {
    return new StoreEra();
  }

  /** The newest era, or null while no answer has stated one. */
  get current(): number | null {
    return this.#current;
  }

  /** Calls the listeners from now on. */
  listen(onChange: EraListener, onIgnored: IgnoredListener): void {
    this.#onChange = onChange;
    this.#onIgnored = onIgnored;
  }

  /** Records what an answer states. */
  observe(reading: EraReading): void {
    if (reading.kind === "invalid") {
      return this.#onIgnored({ reason: "invalid", value: reading.text });
    }
    if (reading.kind === "absent") {
      if (this.#current === null) return;
      return this.#onIgnored({ reason: "absent", value: null });
    }
    const { era } = reading;
    if (this.#current !== null && era < this.#current) {
      return this.#onIgnored({ reason: "lower", value: String(era) });
    }
    if (era === this.#current) return;
    this.#current = era;
    this.#onChange(era);
  }
}
