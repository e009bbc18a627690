/**
 * Runs on the term holder: the paces of all servers that have started or
 * recovered, from the reports of all VMs. One VM sends such a server a request
 * every few seconds, which shows it neither when the server can take more nor
 * that it is flooded.
 *
 * @module
 */
import {
  type PaceObservation,
  type PaceReason,
  ServerPace,
} from "./server_pace.ts";

/**
 * Number of requests of which a fifth must have failed before a server without
 * a pace gets one. A single failure may be by chance.
 */
const MINIMUM_FAILURES = 3;
/**
 * Time for which a server keeps its pace of 1, in milliseconds. A server that
 * becomes cold again shortly after its start is then slowed at once.
 */
const WATCH_TIME = 5_000;
/** Time over which failures of servers without a pace are counted. */
const FAILURE_WINDOW = 1_000;
/** Maximum number of servers with a pace; bounds memory and answers. */
const MAXIMUM_SERVERS = 512;

/** Change of a server's pace, for the log. */
export interface PaceChange {
  server: string;
  pace: number;
  reason: PaceReason;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class PaceControl {
  readonly #paces = new Map<string, { pace: ServerPace; fullSince: number }>();
  /** Failures of servers without a pace, by id. */
  readonly #failures = new Map<string, { count: number; since: number }>();

  private constructor() {}

  /** Creates a control without paces. */
  static create(): PaceControl {
    return new PaceControl();
  }

  /** Number of servers with a pace below 1. */
  get count(): number {
    return [...this.#paces.values()].filter(({ pace }) => pace.value < 1)
      .length;
  }

  /** Pace of a server, from 0 to 1. */
  paceOf(server: string): number {
    return this.#paces.get(server)?.pace.value ?? 1;
  }

  /**
   * Starts the pace of a server that has started or recovered. `value` is the
   * pace that this VM knew as a follower, if any.
   */
  started(server: string, now: number, value?: number): void {
    if (this.#paces.size >= MAXIMUM_SERVERS && !this.#paces.has(server)) return;
    const pace = ServerPace.create(now, value);
    this.#paces.set(server, { pace, fullSince: Infinity });
  }

  /** Ends the pace of a server that is not listed any more. */
  removed(server: string): void {
    this.#paces.delete(server);
    this.#failures.delete(server);
  }

  /**
   * Adds what a VM has seen of a server. A server whose requests fail gets a
   * pace: once they succeed again, it has recovered.
   */
  observe(server: string, observation: PaceObservation, now: number): void {
    const known = this.#paces.get(server);
    if (known !== undefined) return known.pace.observe(observation);
    const { count, failures } = observation;
    if (failures === 0 && !this.#failures.has(server)) return;
    const recent = this.#failures.get(server);
    const isRecent = recent !== undefined &&
      now - recent.since < FAILURE_WINDOW;
    const sum = Math.max(
      0,
      (isRecent ? recent.count : 0) + failures - count / 4,
    );
    if (sum === 0) this.#failures.delete(server);
    else {
      const since = isRecent ? recent.since : now;
      this.#failures.set(server, { count: sum, since });
    }
    if (sum < MINIMUM_FAILURES) return;
    this.#failures.delete(server);
    this.started(server, now);
  }

  /**
   * Changes the paces that are due and returns the changes. `usualLatency`
   * returns the latency of a server before it started or recovered, or that of
   * its service, in milliseconds.
   */
  advance(
    usualLatency: (server: string) => number,
    now: number,
  ): PaceChange[] {
    const changes: PaceChange[] = [];
    for (const [server, entry] of this.#paces) {
      const { pace } = entry;
      if (pace.advance(usualLatency(server), now)) {
        changes.push({ server, pace: pace.value, reason: pace.reason });
      }
      if (pace.value < 1) entry.fullSince = Infinity;
      else entry.fullSince = Math.min(entry.fullSince, now);
      if (now - entry.fullSince >= WATCH_TIME) this.#paces.delete(server);
    }
    return changes;
  }

  /** Servers with a pace below 1, and their paces. */
  paces(): { server: string; pace: number }[] {
    return [...this.#paces].flatMap(([server, { pace }]) =>
      pace.value < 1 ? [{ server, pace: pace.value }] : []
    );
  }
}
