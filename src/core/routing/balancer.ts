/**
 * Balancers choose a backend server for a request without a key.
 *
 * @module
 */
import type { WatchedServer } from "./server_watch.ts";

/** What a choice is made upon. */
export interface Candidates {
  /** Servers that are neither down nor leaving; never empty. */
  servers: readonly WatchedServer[];
  /** Ids of servers that have shed or failed this request. */
  tried: readonly string[];
  /** Availability zone of this VM. */
  availabilityZone: string;
  /** A number in [0, 1). */
  draw(): number;
}

/** A way of choosing a server. */
export abstract class Balancer {
  /** One of the servers, or null when none has room. */
  choose(candidates: Candidates): WatchedServer | null {
    return this.pick(candidates) ?? leastWork(candidates);
  }

  /** A server with room that was not tried, or null to look at all of them. */
  protected abstract pick(candidates: Candidates): WatchedServer | null;
}

/** The servers one after the other. */
export class RoundRobin extends Balancer {
  #next = 0;

  private constructor() {
    super();
  }

  /** Starts with the first server. */
  static create(): RoundRobin {
    return new RoundRobin();
  }

  protected override pick(candidates: Candidates): WatchedServer | null {
    const { servers } = candidates;
    this.#next = (this.#next + 1) % servers.length;
    const server = servers[this.#next];
    return isOpen(server, candidates) ? server : null;
  }
}

/** The server with the least of this VM's work, relative to its limit. */
export class LeastOutstanding extends Balancer {
  private constructor() {
    super();
  }

  /** A balancer without state of its own. */
  static create(): LeastOutstanding {
    return new LeastOutstanding();
  }

  protected override pick(): WatchedServer | null {
    return null;
  }
}

/** What a hop to another availability zone costs, in shares of a limit. */
const FAR_COST = 0.34;

/**
 * The better of two servers drawn at random, with a handicap for those of other
 * availability zones: near servers are preferred until they carry more.
 */
export class PowerOfTwoChoices extends Balancer {
  private constructor() {
    super();
  }

  /** A balancer without state of its own. */
  static create(): PowerOfTwoChoices {
    return new PowerOfTwoChoices();
  }

  protected override pick(candidates: Candidates): WatchedServer | null {
    const { servers, availabilityZone, draw } = candidates;
    const first = Math.floor(draw() * servers.length);
    const shift = 1 + Math.floor(draw() * (servers.length - 1));
    const a = servers[first];
    const b = servers[(first + shift) % servers.length];
    if (!isOpen(a, candidates)) return isOpen(b, candidates) ? b : null;
    if (!isOpen(b, candidates)) return a;
    const total = (server: WatchedServer) =>
      cost(server) +
      (server.availabilityZone === availabilityZone ? 0 : FAR_COST);
    return total(b) < total(a) ? b : a;
  }
}

/** The server with the least work among all that have room. */
function leastWork(candidates: Candidates): WatchedServer | null {
  const { servers, tried } = candidates;
  const open = servers.filter((server) => isOpen(server, candidates));
  const isAllTried = servers.every((server) => tried.includes(server.id));
  const usable = isAllTried ? servers.filter(hasRoom) : open;
  if (usable.length === 0) return null;
  return usable.reduce((best, each) => cost(each) < cost(best) ? each : best);
}

function isOpen(server: WatchedServer, { tried }: Candidates): boolean {
  return hasRoom(server) && !tried.includes(server.id);
}

function hasRoom(server: WatchedServer): boolean {
  return server.inFlight < server.limit.current;
}

function cost(server: WatchedServer): number {
  return server.inFlight / server.limit.current;
}
