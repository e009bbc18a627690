/**
 * Producers of a topic in the stand-in store: the newest epoch of each, and the
 * answers to its last appends, which are returned again for a repeated append.
 *
 * @module
 */

/** Number of appends of a producer whose answers are retained. */
const RETAINED_ANSWERS = 5;

/** Answer to an append. */
export interface AppendAnswer {
  /** Offset of the first appended record. */
  offset: number;
  /** Offset at which the log ends after the append. */
  end: number;
}

/**
 * Identity of an append. A repetition has the same one, even from another VM.
 */
interface AppendIdentity {
  producer: string;
  epoch: number;
  sequence: number;
}

interface Producer {
  epoch: number;
  /** Answers by sequence, oldest first. */
  answers: Map<number, AppendAnswer>;
}

/**
 * See the module's comment. All parameters `query` are the query of an append
 * call.
 */
export class ProducerTable {
  readonly #producers = new Map<string, Producer>();

  private constructor() {}

  /** Creates the state of a topic to which no producer has appended. */
  static create(): ProducerTable {
    return new ProducerTable();
  }

  /** Returns a copy that does not change with this table. */
  copy(): ProducerTable {
    const copy = new ProducerTable();
    for (const [name, { epoch, answers }] of this.#producers) {
      copy.#producers.set(name, { epoch, answers: new Map(answers) });
    }
    return copy;
  }

  /**
   * Returns the answer to the append that this one repeats, if there is one.
   */
  findRepeatedAnswer(query: URLSearchParams): AppendAnswer | undefined {
    const identity = parseIdentity(query);
    if (identity === null) return undefined;
    return this.#currentAnswers(identity)?.get(identity.sequence);
  }

  /** Returns the error of a new append that must be rejected, or null. */
  checkAppend(query: URLSearchParams): object | null {
    const identity = parseIdentity(query);
    if (identity === null) return null;
    const { producer, epoch, sequence } = identity;
    const known = this.#producers.get(producer);
    if (known !== undefined && epoch < known.epoch) return { why: "fenced" };
    const answers = this.#currentAnswers(identity);
    if (answers === undefined) return null;
    const expected = Math.max(...answers.keys()) + 1;
    return sequence === expected ? null : { why: "seq", sequence: expected };
  }

  /** Records the answer to a completed append. */
  recordAppend(query: URLSearchParams, answer: AppendAnswer): void {
    const identity = parseIdentity(query);
    if (identity === null) return;
    const { producer, epoch, sequence } = identity;
    const answers = this.#currentAnswers(identity) ?? new Map();
    answers.set(sequence, answer);
    const [oldest] = answers.keys();
    if (answers.size > RETAINED_ANSWERS) answers.delete(oldest);
    this.#producers.set(producer, { epoch, answers });
  }

  /**
   * Returns the answers for this epoch of a producer if it is the newest one.
   */
  #currentAnswers({ producer, epoch }: AppendIdentity) {
    const known = this.#producers.get(producer);
    return known?.epoch === epoch ? known.answers : undefined;
  }
}

/**
 * Returns the identity of an append, or null if its query names no producer.
 */
function parseIdentity(query: URLSearchParams): AppendIdentity | null {
  const producer = query.get("producer");
  if (producer === null) return null;
  const epoch = Number(query.get("epoch"));
  const sequence = Number(query.get("sequence"));
  return { producer, epoch, sequence };
}
