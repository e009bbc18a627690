/**
 * Asks the backend servers of a deployment at short intervals which keys they
 * hold.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import type { GrantedRange } from "../../src/stand_ins/index.ts";
import type { Deployment } from "./deployment.ts";

/** Interval between two questions to all servers, in milliseconds. */
const INTERVAL = 25;
/** Difference between two keys whose tokens are compared. */
const KEY_STEP = 256;
/** Start of the names of the servers that hold keys. */
const KEYED_PREFIX = "stock";

interface ServerLeases {
  server: string;
  leases: GrantedRange[];
}

/** See the module's comment. */
export class LeaseWatch {
  /**
   * Keys that two servers held at the same time, and keys that a server held
   * under a token that was not above that of another server before; one line
   * each.
   */
  readonly faults: string[] = [];
  /** Highest token of each compared key, and its server. */
  readonly #tokens = new Map<number, { server: string; token: number }>();

  private constructor(private readonly deployment: Deployment) {}

  /** Creates a watch of the keyed servers of `deployment`. */
  static create(deployment: Deployment): LeaseWatch {
    return new LeaseWatch(deployment);
  }

  /** Asks until `isDone`. */
  async run(isDone: () => boolean): Promise<void> {
    let before: string[] = [];
    while (!isDone()) {
      const held = await this.#ask();
      const seen = [
        ...findOverlaps(held),
        ...held.flatMap((each) => this.#lowTokens(each)),
      ];
      // Servers do not answer at the same moment, so keys that move meanwhile
      // may be seen at both, but only once.
      this.faults.push(...seen.filter((each) => before.includes(each)));
      before = seen;
      for (const each of held) this.#recordTokens(each);
      await delay(INTERVAL);
    }
  }

  #ask(): Promise<ServerLeases[]> {
    const servers = this.deployment.servers.filter(({ process, name }) =>
      name.startsWith(KEYED_PREFIX) && process.exitCode === null &&
      process.signalCode === null
    );
    return Promise.all(
      servers.map(async (server) => ({
        server: server.name,
        leases: await this.deployment.leases(server),
      })),
    );
  }

  /** Compared keys that a server holds under a token that is too low. */
  #lowTokens({ server, leases }: ServerLeases): string[] {
    return comparedKeys(leases).flatMap(({ key, token }) => {
      const before = this.#tokens.get(key);
      const isLow = before !== undefined && before.server !== server &&
        token <= before.token;
      return isLow
        ? [
          `key ${key}: ${server} under ${token} after ${before.server} ` +
          `under ${before.token}`,
        ]
        : [];
    });
  }

  #recordTokens({ server, leases }: ServerLeases): void {
    for (const { key, token } of comparedKeys(leases)) {
      if (token <= (this.#tokens.get(key)?.token ?? -1)) continue;
      this.#tokens.set(key, { server, token });
    }
  }
}

/** The compared keys in `leases`, each with its token. */
function comparedKeys(
  leases: readonly GrantedRange[],
): { key: number; token: number }[] {
  return leases.flatMap(({ from, target, token }) => {
    const keys: { key: number; token: number }[] = [];
    const first = Math.ceil(from / KEY_STEP) * KEY_STEP;
    for (let key = first; key <= target; key += KEY_STEP) {
      keys.push({ key, token });
    }
    return keys;
  });
}

/** Pairs of servers that hold the same keys, one line each. */
function findOverlaps(held: readonly ServerLeases[]): string[] {
  const overlaps = new Set<string>();
  for (const [i, a] of held.entries()) {
    for (const b of held.slice(i + 1)) {
      for (const x of a.leases) {
        for (const y of b.leases) {
          const first = Math.max(x.from, y.from);
          const last = Math.min(x.target, y.target);
          if (first > last) continue;
          overlaps.add(`${a.server} and ${b.server} hold ${first}..${last}`);
        }
      }
    }
  }
  return [...overlaps];
}
