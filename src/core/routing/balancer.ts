/**
 * Balancers choose a backend server for a request without a key.
 *
 * @module
 */
import type { WatchedServer } from "./server_watch.ts";

/** What a choice is made upon. */
export interface Candidates {
  /** Servers that have room, none of them down or leaving; never empty. */
  servers: readonly WatchedServer[];
  /** Availability zone of this VM. */
  availabilityZone: string;
  /** Two numbers in [0, 1) drawn for this choice. */
  draws: readonly [number, number];
}

/** A way of choosing a server. */
export abstract class Balancer {
  /** One of the candidates. */
  abstract choose(candidates: Candidates): WatchedServer;
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

  override choose({ servers }: Candidates): WatchedServer {
    this.#next = (this.#next + 1) % servers.length;
    return servers[this.#next];
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

  override choose({ servers }: Candidates): WatchedServer {
    return servers.reduce((best, each) =>
      cost(each) < cost(best) ? each : best
    );
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

  override choose(candidates: Candidates): WatchedServer {
    const { servers, availabilityZone, draws } = candidates;
    const first = Math.floor(draws[0] * servers.length);
    const shift = 1 + Math.floor(draws[1] * (servers.length - 1));
    const a = servers[first];
    const b = servers[(first + shift) % servers.length];
    const handicap = (server: WatchedServer) =>
      server.availabilityZone === availabilityZone ? 0 : FAR_COST;
    return cost(b) + handicap(b) < cost(a) + handicap(a) ? b : a;
  }
}

function cost(server: WatchedServer): number {
  return server.inFlight / server.limit.current;
}
