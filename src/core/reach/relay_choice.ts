/**
 * Chooses the VM through which this VM connects to a server that it does not
 * reach directly.
 *
 * The term holder names a few VMs that reach the servers with each answer to a
 * report, so that they are known before they are needed.
 *
 * @module
 */
import { hashOf } from "./text_hash.ts";

/**
 * Initial and maximum time for which a VM is not used after it could not be
 * used, in milliseconds. It doubles with each consecutive time.
 */
const INITIAL_PAUSE = 500;
const MAXIMUM_PAUSE = 2_000;

/**
 * Time without a response after which a request through a VM is overdue: a
 * multiple of the expected latency, and the minimum in milliseconds.
 */
const OVERDUE_LATENCY_FACTOR = 2;
const MINIMUM_OVERDUE_TIME = 400;

/** A request or an order in flight through a VM. */
interface RelayedAttempt {
  relay: string;
  /** When it is overdue unless a response arrives through the VM. */
  overdueAt: number;
}

/** Pause of a VM that could not be used. */
interface Pause {
  duration: number;
  until: number;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class RelayChoice {
  #relays: readonly string[] = [];
  readonly #pauses = new Map<string, Pause>();
  /** Attempts in flight by name, oldest first. */
  readonly #attempts = new Map<string, RelayedAttempt>();
  /** When a response last arrived through a VM. */
  readonly #answeredAt = new Map<string, number>();
  #lastAnsweredAt = -Infinity;

  private constructor() {}

  /** Creates a choice without VMs. */
  static create(): RelayChoice {
    return new RelayChoice();
  }

  /** Peer addresses of the VMs that are known to reach the servers. */
  get addresses(): readonly string[] {
    return this.#relays;
  }

  /** Whether no VM is known to reach the servers. */
  get isEmpty(): boolean {
    return this.#relays.length === 0;
  }

  /**
   * Whether there are such VMs, and none of them could be used since the last
   * response through it.
   */
  get areAllFailing(): boolean {
    return this.#relays.length > 0 &&
      this.#relays.every((relay) => this.#pauses.has(relay));
  }

  /** When a response last arrived through any VM; -Infinity if none has. */
  get lastAnsweredAt(): number {
    return this.#lastAnsweredAt;
  }

  /** Replaces the peer addresses of the VMs that reach the servers. */
  replace(relays: readonly string[]): void {
    this.#relays = relays;
    for (const relay of this.#pauses.keys()) {
      if (!relays.includes(relay)) this.#pauses.delete(relay);
    }
    for (const relay of this.#answeredAt.keys()) {
      if (!relays.includes(relay)) this.#answeredAt.delete(relay);
    }
  }

  /** Removes a VM that is about to stop. */
  remove(relay: string): void {
    this.#relays = this.#relays.filter((each) => each !== relay);
  }

  /**
   * Records that a request or an order was sent through a VM. `name` identifies
   * it; a response is expected after `expectedLatency` milliseconds.
   */
  started(
    name: string,
    relay: string,
    expectedLatency: number,
    now: number,
  ): void {
    const limit = Math.max(
      MINIMUM_OVERDUE_TIME,
      OVERDUE_LATENCY_FACTOR * expectedLatency,
    );
    this.#attempts.set(name, { relay, overdueAt: now + limit });
  }

  /** Records that an attempt has ended without a response. */
  ended(name: string): void {
    this.#attempts.delete(name);
  }

  /** Records a response to an attempt. */
  answered(name: string, now: number): void {
    const attempt = this.#attempts.get(name);
    if (attempt === undefined) return;
    this.#attempts.delete(name);
    this.#answeredAt.set(attempt.relay, now);
    this.#lastAnsweredAt = now;
    this.#pauses.delete(attempt.relay);
  }

  /** Pauses the VMs through which no response to an overdue request arrives. */
  advance(now: number): void {
    for (const [name, { relay, overdueAt }] of this.#attempts) {
      if (now < overdueAt) continue;
      this.#attempts.delete(name);
      this.unanswered(relay, now);
    }
  }

  /**
   * Records that this process has stalled for `duration` milliseconds until
   * now. Responses may be waiting to be read.
   */
  processStalled(duration: number): void {
    for (const attempt of this.#attempts.values()) {
      attempt.overdueAt += duration;
    }
  }

  /**
   * Records that a server did not respond through a VM. The VM is paused unless
   * other servers have just responded through it.
   */
  unanswered(relay: string, now: number): void {
    const answeredAt = this.#answeredAt.get(relay) ?? -Infinity;
    if (now - answeredAt > MINIMUM_OVERDUE_TIME) this.failed(relay, now);
  }

  /** Records that a VM could not be used. */
  failed(relay: string, now: number): void {
    if (!this.#relays.includes(relay)) return;
    const pause = this.#pauses.get(relay);
    if (pause !== undefined && now < pause.until) return;
    const duration = pause === undefined
      ? INITIAL_PAUSE
      : Math.min(MAXIMUM_PAUSE, pause.duration * 2);
    this.#pauses.set(relay, { duration, until: now + duration });
  }

  /**
   * Returns the address of the VM for a server, or null if no VM is usable now.
   * It stays the same for a server as long as possible, so that connections are
   * used again.
   */
  choose(server: string, now: number): string | null {
    let best: string | null = null;
    let highest = -1;
    for (const relay of this.#relays) {
      if (now < (this.#pauses.get(relay)?.until ?? -Infinity)) continue;
      const rank = hashOf(`${relay} ${server}`);
      if (rank <= highest) continue;
      highest = rank;
      best = relay;
    }
    return best;
  }
}
