/**
 * What a topic of the store's stand-in knows of its producers: the newest epoch
 * of each, and the answers to its last appends, which a repeat is given again.
 *
 * @module
 */

/** Appends of a producer that are known again when they are repeated. */
const REMEMBERED_APPENDS = 5;

/** What an append was answered. */
export interface AppendAnswer {
  offset: number;
  end: number;
}

/** By what a repeat of an append is known, whoever sends it. */
interface AppendIdentity {
  producer: string;
  epoch: number;
  sequence: number;
}

interface Producer {
  epoch: number;
  /** Answers by sequence, the oldest first. */
  answers: Map<number, AppendAnswer>;
}

/** See the module's comment. Queries are those of appends. */
export class Producers {
  readonly #known = new Map<string, Producer>();

  private constructor() {}

  /** A topic to which no producer has appended. */
  static create(): Producers {
    return new Producers();
  }

  /** The answer to the append that this one repeats, if it does. */
  answerTo(query: URLSearchParams): AppendAnswer | undefined {
    const identity = identityOf(query);
    if (identity === null) return undefined;
    return this.#answers(identity)?.get(identity.sequence);
  }

  /** Why an append that repeats none is refused, or null. */
  refusal(query: URLSearchParams): object | null {
    const identity = identityOf(query);
    if (identity === null) return null;
    const { producer, epoch, sequence } = identity;
    const known = this.#known.get(producer);
    if (known !== undefined && epoch < known.epoch) return { why: "fenced" };
    const answers = this.#answers(identity);
    if (answers === undefined) return null;
    const expected = Math.max(...answers.keys()) + 1;
    return sequence === expected ? null : { why: "seq", sequence: expected };
  }

  /** An append was done. */
  note(query: URLSearchParams, answer: AppendAnswer): void {
    const identity = identityOf(query);
    if (identity === null) return;
    const { producer, epoch, sequence } = identity;
    const answers = this.#answers(identity) ?? new Map();
    answers.set(sequence, answer);
    const [oldest] = answers.keys();
    if (answers.size > REMEMBERED_APPENDS) answers.delete(oldest);
    this.#known.set(producer, { epoch, answers });
  }

  /** Answers given under this epoch of a producer, if it is the newest. */
  #answers({ producer, epoch }: AppendIdentity) {
    const known = this.#known.get(producer);
    return known?.epoch === epoch ? known.answers : undefined;
  }
}

/** The identity of an append; null where its query names no producer. */
function identityOf(query: URLSearchParams): AppendIdentity | null {
  const producer = query.get("producer");
  if (producer === null) return null;
  const epoch = Number(query.get("epoch"));
  const sequence = Number(query.get("sequence"));
  return { producer, epoch, sequence };
}
