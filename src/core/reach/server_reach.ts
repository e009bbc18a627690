/**
 * Detects whether this VM's own connections reach the backend servers.
 *
 * A VM that is partitioned from all servers sees the same as one whose servers
 * are all down: connections time out, are reset or refused, or get no response.
 * What it sees of one server after the other must therefore not be taken for
 * the state of these servers. Failures at several servers without a response
 * from any, and requests without a response, are checked by connecting to a few
 * other servers. If none accepts a connection, this VM is isolated: it sends
 * requests and orders through other VMs, until a server accepts a direct
 * connection again.
 *
 * @module
 */
import type { Fleet, TrackedServer } from "../fleet/index.ts";
import type { ProbeResult, ServerProbe } from "../quarantine/index.ts";

/**
 * Time without a response after which a request is overdue: a multiple of the
 * expected latency, and the minimum in milliseconds.
 */
const OVERDUE_LATENCY_FACTOR = 1.5;
const MINIMUM_OVERDUE_TIME = 250;
/**
 * Multiple of that time after which requests to a single server are checked.
 * Most such requests are only slow, and a check costs other servers
 * connections.
 */
const SINGLE_OVERDUE_FACTOR = 3;
/** Time for which a failed connection counts, in milliseconds. */
const FAILURE_LIFETIME = 1_000;
/** Number of servers that a check connects to. */
const CHECKED_SERVERS = 3;
/** Minimum time between two checks, in milliseconds. */
const CHECK_PAUSE = 500;
/**
 * Time after which a check ends whose probes have not all ended, in
 * milliseconds. It exceeds the timeout of a probe.
 */
const CHECK_TIMEOUT = 1_000;
/** Interval between two probes while this VM is isolated, in milliseconds. */
const PROBE_INTERVAL = 250;
/**
 * Number of consecutive successful probes that end an isolation. It doubles
 * with each isolation that begins soon after the last one, so that requests do
 * not change their path with each failure of a flapping link.
 */
const INITIAL_SUCCESSES = 1;
const MAXIMUM_SUCCESSES = 8;
/**
 * Time after an isolation within which the next one counts as flapping, in
 * milliseconds.
 */
const FLAPPING_TIME = 5_000;
/**
 * Time for which connections to a single server go through another VM after a
 * direct one has failed, in milliseconds. They are tried directly afterwards.
 */
const DETOUR_TIME = 1_000;

/** How a direct connection failed before or after it was established. */
export type ConnectionFailure =
  /** The address refused it. */
  | "refused"
  /** It was not established in time. */
  | "silent"
  /** It broke after the request was sent. */
  | "broken";

/**
 * Whether the direct connections work: `isolated` if servers accept no new
 * ones, and `suspected` while connections to several servers have failed and
 * that is being checked. Requests that are only overdue do not make it
 * `suspected`: servers and this VM may be slow.
 */
export type ReachState = "direct" | "suspected" | "isolated";

/** A change of the state. */
export interface ReachChange {
  state: "direct" | "isolated";
  /** Whether established connections still work. */
  isEstablishedUsable: boolean;
  /** Fields of the log line. */
  detail: Record<string, string | number | boolean | null>;
}

/** A request or an order in flight over a direct connection. */
interface DirectAttempt {
  server: string;
  startedAt: number;
  /** Time without a response after which it is overdue, in milliseconds. */
  limit: number;
}

/** The last failure of a direct connection to a server. */
interface Failure {
  kind: ConnectionFailure;
  at: number;
}

/** Probes of several servers. */
interface Check {
  startedAt: number;
  pending: Set<string>;
  results: ProbeResult[];
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class ServerReach {
  #isIsolated = false;
  /** Direct attempts in flight, oldest first. */
  readonly #attempts = new Map<string, DirectAttempt>();
  /** Last failures of direct connections, by server. */
  readonly #failures = new Map<string, Failure>();
  /** Until when requests to a server go through another VM, by server. */
  readonly #detours = new Map<string, number>();
  /** When any server last responded over a direct connection. */
  #answeredAt = -Infinity;
  #check: Check | null = null;
  #checkedAt = -Infinity;
  #probedAt = -Infinity;
  #isProbing = false;
  /** Consecutive successful probes since this VM is isolated. */
  #successes = 0;
  #requiredSuccesses = INITIAL_SUCCESSES;
  #isolatedSince = Infinity;
  #reachedAt = -Infinity;
  /** Whether no server's address responded to the last check at all. */
  #isSilent = false;

  private constructor(
    private readonly fleet: Fleet,
    private readonly draw: () => number,
  ) {}

  /**
   * Creates a detector for the servers of `fleet` that has seen no failure.
   * `draw` returns a random number in [0, 1).
   */
  static create(fleet: Fleet, draw: () => number): ServerReach {
    return new ServerReach(fleet, draw);
  }

  /** Whether no server accepts direct connections of this VM. */
  get isIsolated(): boolean {
    return this.#isIsolated;
  }

  /**
   * Whether no address of a server has responded at all, not even by refusing
   * the connection.
   */
  get isSilent(): boolean {
    return this.#isIsolated && this.#isSilent;
  }

  /** See {@linkcode ReachState}. */
  state(now: number): ReachState {
    if (this.#isIsolated) return "isolated";
    // A server has just accepted a connection.
    if (now - this.#checkedAt < CHECK_PAUSE) return "direct";
    const failing = this.#failingServers(now).size;
    return failing > 0 && failing >= this.#suspectsNeeded
      ? "suspected"
      : "direct";
  }

  /**
   * Whether requests may be sent over direct connections that are open, because
   * none of the requests in flight there is overdue.
   */
  isEstablishedUsable(now: number): boolean {
    return this.#overdueServers(now).length === 0 &&
      (!this.#isIsolated || this.#answeredAt >= this.#isolatedSince);
  }

  /** Whether a direct connection to the server has just failed. */
  isDetoured(server: string, now: number): boolean {
    return now < (this.#detours.get(server) ?? -Infinity);
  }

  /**
   * Records that a request or an order was sent to a server over a direct
   * connection. `name` identifies it; a response is expected after
   * `expectedLatency` milliseconds.
   */
  started(
    name: string,
    server: string,
    expectedLatency: number,
    now: number,
  ): void {
    const limit = Math.max(
      MINIMUM_OVERDUE_TIME,
      OVERDUE_LATENCY_FACTOR * expectedLatency,
    );
    this.#attempts.set(name, { server, startedAt: now, limit });
  }

  /** Records that a direct attempt has ended without a statement of its path. */
  ended(name: string): void {
    this.#attempts.delete(name);
  }

  /** Records a response over a direct connection. */
  answered(name: string, now: number): void {
    if (!this.#attempts.delete(name)) return;
    this.#answeredAt = now;
    for (const [server, { kind }] of this.#failures) {
      if (kind === "broken") this.#failures.delete(server);
    }
  }

  /** Records that a direct attempt failed with its connection. */
  failed(name: string, kind: ConnectionFailure, now: number): void {
    const attempt = this.#attempts.get(name);
    if (attempt === undefined) return;
    this.#attempts.delete(name);
    this.#failures.set(attempt.server, { kind, at: now });
    if (kind === "silent") this.detour(attempt.server, now);
  }

  /**
   * Records that another VM reaches a server that this VM does not reach
   * directly.
   */
  detour(server: string, now: number): void {
    this.#detours.set(server, now + DETOUR_TIME);
  }

  /** Records that no other VM reaches a server either. */
  endDetour(server: string): void {
    this.#detours.delete(server);
  }

  /**
   * Records that this process has stalled for `duration` milliseconds until
   * now. Responses may be waiting to be read.
   */
  processStalled(duration: number): void {
    for (const attempt of this.#attempts.values()) {
      attempt.startedAt += duration;
    }
    if (this.#check !== null) this.#check.startedAt += duration;
  }

  /**
   * Records the end of a probe over a direct connection. Returns the change of
   * the state that it caused, or null.
   */
  probed(server: string, result: ProbeResult, now: number): ReachChange | null {
    this.#isProbing = false;
    if (result === "connected") {
      this.#failures.delete(server);
      this.#detours.delete(server);
    } else if (result === "silent") {
      this.detour(server, now);
    }
    if (this.#isIsolated) return this.#probedWhileIsolated(result, now);
    const check = this.#check;
    if (check === null || !check.pending.delete(server)) return null;
    check.results.push(result);
    if (result === "connected") {
      this.#check = null;
      this.#checkedAt = now;
      this.#failures.clear();
      return null;
    }
    return check.pending.size > 0 ? null : this.#endCheck(check, now);
  }

  /** Returns the probes that are due. */
  advance(now: number): ServerProbe[] {
    for (const [server, until] of this.#detours) {
      if (until <= now) this.#detours.delete(server);
    }
    if (this.#isIsolated) return this.#probe(now);
    const check = this.#check;
    if (check !== null) {
      if (now - check.startedAt < CHECK_TIMEOUT) return [];
      this.#check = null;
      this.#checkedAt = now;
    }
    if (now - this.#checkedAt < CHECK_PAUSE) return [];
    const suspects = this.#suspects(now);
    if (!this.#isCheckDue(suspects, now)) return [];
    const servers = this.#serversToCheck(suspects);
    this.#check = {
      startedAt: now,
      pending: new Set(servers.map(({ id }) => id)),
      results: [],
    };
    return servers.map(createProbe);
  }

  /**
   * When {@linkcode advance} must be called; Infinity if nothing is due.
   * Overdue requests have no time of their own: they are found with the next
   * event or the next regular step.
   */
  nextAt(): number {
    if (this.#isIsolated) {
      return this.#isProbing ? Infinity : this.#probedAt + PROBE_INTERVAL;
    }
    return this.#check === null
      ? Infinity
      : this.#check.startedAt + CHECK_TIMEOUT;
  }

  #probedWhileIsolated(result: ProbeResult, now: number): ReachChange | null {
    this.#successes = result === "connected" ? this.#successes + 1 : 0;
    if (result !== "silent") this.#isSilent = false;
    if (this.#successes < this.#requiredSuccesses) return null;
    this.#isIsolated = false;
    this.#reachedAt = now;
    this.#failures.clear();
    this.#detours.clear();
    // Requests that were sent before the end were sent into the partition.
    this.#attempts.clear();
    const after = Math.round(now - this.#isolatedSince);
    return {
      state: "direct",
      isEstablishedUsable: true,
      detail: { after, probes: this.#successes },
    };
  }

  #endCheck({ results }: Check, now: number): ReachChange {
    const isEstablishedUsable = this.#overdueServers(now).length === 0 &&
      now - this.#answeredAt < MINIMUM_OVERDUE_TIME;
    const suspects = this.#suspects(now).size;
    const silence = now - this.#answeredAt;
    this.#check = null;
    this.#checkedAt = now;
    this.#isIsolated = true;
    this.#isolatedSince = now;
    this.#isSilent = results.every((each) => each === "silent");
    this.#successes = 0;
    const isFlapping = now - this.#reachedAt < FLAPPING_TIME;
    this.#requiredSuccesses = isFlapping
      ? Math.min(MAXIMUM_SUCCESSES, this.#requiredSuccesses * 2)
      : INITIAL_SUCCESSES;
    this.#probedAt = now;
    const refused = results.filter((each) => each === "refused").length;
    return {
      state: "isolated",
      isEstablishedUsable,
      detail: {
        suspects,
        checked: results.length,
        refused,
        silence: silence === Infinity ? null : Math.round(silence),
        isEstablishedUsable,
      },
    };
  }

  /** Returns the probe of one server while this VM is isolated. */
  #probe(now: number): ServerProbe[] {
    if (this.#isProbing && now - this.#probedAt < CHECK_TIMEOUT) return [];
    if (now - this.#probedAt < PROBE_INTERVAL) return [];
    const servers = this.fleet.all();
    if (servers.length === 0) return [];
    this.#probedAt = now;
    this.#isProbing = true;
    return [createProbe(servers[Math.floor(this.draw() * servers.length)])];
  }

  #isCheckDue(suspects: ReadonlySet<string>, now: number): boolean {
    if (suspects.size >= this.#suspectsNeeded) return suspects.size > 0;
    // A single server that refuses connections has most likely ended.
    return [...suspects].some((server) =>
      this.#failures.get(server)?.kind === "silent"
    ) || this.#overdueServers(now, SINGLE_OVERDUE_FACTOR).length > 0;
  }

  /**
   * Returns servers to check, other ones than the suspects if there are enough.
   */
  #serversToCheck(suspects: ReadonlySet<string>): TrackedServer[] {
    const servers = this.fleet.all();
    const start = Math.floor(this.draw() * servers.length);
    const rotated = [...servers.slice(start), ...servers.slice(0, start)];
    const others = rotated.filter(({ id }) => !suspects.has(id));
    const rest = rotated.filter(({ id }) => suspects.has(id));
    return [...others, ...rest].slice(0, CHECKED_SERVERS);
  }

  /** Number of suspects from which on a check is due in any case. */
  get #suspectsNeeded(): number {
    return Math.min(2, this.fleet.size);
  }

  /** Servers to which direct connections seem to fail. */
  #suspects(now: number): Set<string> {
    const failing = this.#failingServers(now);
    return new Set([...failing, ...this.#overdueServers(now)]);
  }

  /** Servers to which direct connections have failed recently. */
  #failingServers(now: number): Set<string> {
    const failing = new Set<string>();
    for (const [server, { kind, at }] of this.#failures) {
      if (now - at > FAILURE_LIFETIME) this.#failures.delete(server);
      else if (kind !== "broken" || at > this.#answeredAt) failing.add(server);
    }
    return failing;
  }

  /**
   * Servers with requests that are overdue by `factor`, if no server has
   * responded since these requests were sent.
   */
  #overdueServers(now: number, factor = 1): string[] {
    const overdue: string[] = [];
    for (const { server, startedAt, limit } of this.#attempts.values()) {
      const silence = now - Math.max(startedAt, this.#answeredAt);
      if (silence <= limit * factor) continue;
      overdue.push(server);
    }
    return overdue;
  }
}

function createProbe({ id, entry }: TrackedServer): ServerProbe {
  return {
    kind: "server.check",
    server: id,
    address: entry.address,
    relay: null,
    purpose: "reach",
  };
}
