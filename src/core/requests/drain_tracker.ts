/**
 * Knows how far this router has drained: up to which view nothing that it sent
 * to a former owner is in flight or can still start there.
 *
 * @module
 */
import type { View } from "../ownership/view.ts";
import type { Position } from "../position.ts";

/** An attempt at a keyed service that is in flight. */
export interface KeyedAttempt {
  id: number;
  service: string;
  slot: number;
  server: string;
}

/** A request that was given up but that its server may still start. */
interface Remnant {
  service: string;
  slot: number;
  server: string;
  until: number;
}

/** What a view made obsolete and what has not ended yet. */
interface Drain {
  position: Position;
  attempts: Set<number>;
  until: number;
}

/** See the module's comment. */
export class DrainTracker {
  #drains: Drain[] = [];
  #remnants: Remnant[] = [];

  private constructor() {}

  /** Nothing is in flight. */
  static create(): DrainTracker {
    return new DrainTracker();
  }

  /** A view was adopted; returns the attempts that it made obsolete. */
  adopt(view: View, inFlight: Iterable<KeyedAttempt>): KeyedAttempt[] {
    const obsolete: KeyedAttempt[] = [];
    for (const attempt of inFlight) {
      if (isObsolete(view, attempt)) obsolete.push(attempt);
    }
    const until = this.#remnants
      .filter((remnant) => isObsolete(view, remnant))
      .reduce((latest, remnant) => Math.max(latest, remnant.until), -Infinity);
    this.#drains.push({
      position: view.position,
      attempts: new Set(obsolete.map((attempt) => attempt.id)),
      until,
    });
    return obsolete;
  }

  /** An attempt ended with its whole answer, or without having been sent. */
  end(attempt: number): void {
    for (const drain of this.#drains) drain.attempts.delete(attempt);
  }

  /** An attempt was given up; its server may start it until `until`. */
  giveUp(attempt: KeyedAttempt, until: number): void {
    const { service, slot, server } = attempt;
    this.#remnants.push({ service, slot, server, until });
    for (const drain of this.#drains) {
      if (!drain.attempts.delete(attempt.id)) continue;
      drain.until = Math.max(drain.until, until);
    }
  }

  /** The position up to which all is drained, `adopted` if nothing is left. */
  drained(now: number, adopted: Position, before: Position): Position {
    this.#remnants = this.#remnants.filter((remnant) => now < remnant.until);
    let position = before;
    while (this.#drains.length > 0) {
      const [oldest] = this.#drains;
      if (oldest.attempts.size > 0 || now < oldest.until) return position;
      position = oldest.position;
      this.#drains.shift();
    }
    return adopted;
  }
}

function isObsolete(
  view: View,
  { service, slot, server }: { service: string; slot: number; server: string },
): boolean {
  return view.services[service]?.[slot]?.server !== server;
}
