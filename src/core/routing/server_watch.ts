/**
 * What one VM knows of the backend servers of its site: which are configured,
 * leaving, down, lost, and how much of this VM's work each is doing. Outcomes of
 * real requests count for more than what a health endpoint says.
 *
 * @module
 */
import type { SiteConfiguration } from "../configuration/index.ts";
import type { ListedVm } from "../event.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";

/** Failures in a row after which a server is taken for down. */
const FAILURES_TO_DOWN = 2;
/** Probes in a row that must succeed before a lost server is used again. */
const PROBES_TO_RETURN = 2;

/** One backend server as this VM sees it. */
export interface WatchedServer {
  readonly id: string;
  readonly service: string;
  address: string;
  availabilityZone: string;
  limit: ConcurrencyLimit;
  /** This VM's requests in flight there. */
  inFlight: number;
  /** The platform's list says that it is leaving. */
  leaving: boolean;
  /** This VM has seen it fail and sends it no un-keyed requests. */
  down: boolean;
  /** The term holder has confirmed the failure. */
  lost: boolean;
  /** Failures since the last success. */
  failures: number;
  /** Successful probes since the last failure. */
  goodProbes: number;
  /** When it last answered a real request. */
  succeededAt: number;
  /** When the last probe was sent. */
  probedAt: number;
  /** Whether a failed probe decides that the server is lost. */
  confirming: boolean;
  /** When it was last reported to the term holder. */
  reportedAt: number;
}

/** All backend servers of a site. */
export class ServerWatch {
  #servers = new Map<string, WatchedServer>();
  #byService = new Map<string, WatchedServer[]>();
  #leaving = new Set<string>();
  #usable = new Map<string, WatchedServer[]>();
  #version = 0;

  private constructor() {}

  /** Knows no servers yet. */
  static create(): ServerWatch {
    return new ServerWatch();
  }

  /** Grows whenever a server's state changes. */
  get version(): number {
    return this.#version;
  }

  /** Follows a configuration; servers that stay keep what is known of them. */
  configure(configuration: SiteConfiguration, vms: number): void {
    const servers = new Map<string, WatchedServer>();
    this.#byService = new Map();
    for (const service of configuration.services.values()) {
      const share = Math.max(1, Math.floor(service.connections / vms));
      const watched = service.backendServers.map((server) => {
        const known = this.#servers.get(server.id);
        const entry = known?.service === service.name
          ? known
          : createServer(server.id, service.name);
        if (entry.limit.maximum !== share) {
          entry.limit = ConcurrencyLimit.create(service.slots, share);
        }
        entry.address = server.address;
        entry.availabilityZone = server.availabilityZone;
        entry.leaving = this.#leaving.has(server.id);
        servers.set(server.id, entry);
        return entry;
      });
      this.#byService.set(service.name, watched);
    }
    this.#servers = servers;
    this.#changed();
  }

  /** Follows the platform's list. */
  list(vms: readonly ListedVm[]): void {
    this.#leaving = new Set(
      vms.filter((vm) => vm.state === "leaving").map((vm) => vm.id),
    );
    for (const server of this.#servers.values()) {
      const isLeaving = this.#leaving.has(server.id);
      if (isLeaving === server.leaving) continue;
      server.leaving = isLeaving;
      this.#changed();
    }
  }

  /** The server with that id, if it is configured. */
  find(id: string): WatchedServer | undefined {
    return this.#servers.get(id);
  }

  /** All configured servers. */
  all(): Iterable<WatchedServer> {
    return this.#servers.values();
  }

  /** The configured servers of a service. */
  ofService(service: string): readonly WatchedServer[] {
    return this.#byService.get(service) ?? [];
  }

  /** The servers of a service that take requests without a key. */
  usable(service: string): readonly WatchedServer[] {
    const known = this.#usable.get(service);
    if (known !== undefined) return known;
    const usable = this.ofService(service).filter((each) =>
      !each.down && !each.lost && !each.leaving
    );
    this.#usable.set(service, usable);
    return usable;
  }

  /** Ids of the servers that may be given slots. */
  eligible(service: string): string[] {
    return this.ofService(service)
      .filter((each) => !each.lost && !each.leaving)
      .map((each) => each.id);
  }

  /** Ids of the servers that are known to be lost. */
  lost(): string[] {
    return [...this.#servers.values()]
      .filter((each) => each.lost)
      .map((each) => each.id);
  }

  /** Whether the term holder has confirmed that the server failed. */
  isLost(id: string): boolean {
    return this.#servers.get(id)?.lost ?? true;
  }

  /** Whether the platform says that the server is leaving. */
  isLeaving(id: string): boolean {
    return this.#servers.get(id)?.leaving ?? false;
  }

  /** The server did something right for a real request. */
  onSuccess(server: WatchedServer, now: number): void {
    server.succeededAt = now;
    server.failures = 0;
    if (server.down) this.#setDown(server, false);
  }

  /** A request or probe failed. */
  onFailure(server: WatchedServer): void {
    server.failures += 1;
    server.goodProbes = 0;
    const isDown = server.failures >= FAILURES_TO_DOWN;
    if (isDown && !server.down) this.#setDown(server, true);
  }

  /** The term holder has confirmed that the server failed. */
  onLost(server: WatchedServer): void {
    server.lost = true;
    this.#changed();
  }

  /** A probe succeeded. */
  onHealthy(server: WatchedServer): void {
    server.goodProbes += 1;
    server.failures = 0;
    const isBack = server.goodProbes >= PROBES_TO_RETURN;
    if (!isBack || !(server.down || server.lost)) return;
    server.lost = false;
    this.#setDown(server, false);
  }

  #setDown(server: WatchedServer, down: boolean): void {
    server.down = down;
    this.#changed();
  }

  #changed(): void {
    this.#version += 1;
    this.#usable.clear();
  }
}

function createServer(id: string, service: string): WatchedServer {
  return {
    id,
    service,
    address: "",
    availabilityZone: "",
    limit: ConcurrencyLimit.create(1, 1),
    inFlight: 0,
    leaving: false,
    down: false,
    lost: false,
    failures: 0,
    goodProbes: 0,
    succeededAt: -Infinity,
    probedAt: -Infinity,
    confirming: false,
    reportedAt: -Infinity,
  };
}
