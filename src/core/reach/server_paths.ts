/**
 * Decides on which path this VM connects to a server: directly, or through
 * another VM that reaches it.
 *
 * Everything that this VM sends to servers uses the same decision: first
 * attempts, retries, hedges, copies, queued requests, orders and probes.
 *
 * @module
 */
import type { ServerProbe } from "../quarantine/index.ts";
import { RelayChoice } from "./relay_choice.ts";
import type { ConnectionFailure, ServerReach } from "./server_reach.ts";

/** Minimum time between two confirmations for one server, in milliseconds. */
const CONFIRMATION_INTERVAL = 100;
/** Maximum number of servers whose confirmations are remembered. */
const MAXIMUM_CONFIRMATIONS = 1_024;

/**
 * Time without any path to servers after which this VM hands over what it is
 * responsible for, in milliseconds.
 */
const HANDOVER_DELAY = 1_000;

/** Path of a connection to a server. */
export interface ServerPath {
  /**
   * Peer address of the VM through which a connection is opened; null to
   * connect directly.
   */
  relay: string | null;
  /** Whether an open direct connection is preferred even if `relay` is set. */
  mayReuseDirect: boolean;
}

const DIRECT: ServerPath = { relay: null, mayReuseDirect: true };

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class ServerPaths {
  readonly relays = RelayChoice.create();
  /** Since when nothing can be sent; Infinity if something can. */
  #cutOffSince = Infinity;
  /** When a refusal was last checked through another VM, by server. */
  readonly #confirmedAt = new Map<string, number>();

  private constructor(
    /** Whether this VM's own connections reach the servers. */
    readonly reach: ServerReach,
  ) {}

  /** Creates paths without other VMs. */
  static create(reach: ServerReach): ServerPaths {
    return new ServerPaths(reach);
  }

  /** Returns the path of the next connection to a server. */
  to(server: string, now: number): ServerPath {
    const { reach, relays } = this;
    const isDirect = reach.state(now) === "direct";
    if (isDirect && !reach.isDetoured(server, now)) return DIRECT;
    const relay = relays.choose(server, now);
    if (relay === null) return DIRECT;
    const mayReuseDirect = !isDirect && reach.isEstablishedUsable(now);
    return { relay, mayReuseDirect };
  }

  /** Whether this VM reaches other servers directly, but not this one. */
  isDetoured(server: string, now: number): boolean {
    return this.reach.isDetoured(server, now) &&
      this.reach.state(now) === "direct";
  }

  /** Records a response, directly or through another VM. */
  answered(name: string, isRelayed: boolean, now: number): void {
    if (isRelayed) {
      this.reach.ended(name);
      this.relays.answered(name, now);
    } else {
      this.relays.ended(name);
      this.reach.answered(name, now);
    }
  }

  /** Records that an attempt failed with its connection. */
  failed(
    name: string,
    isRelayed: boolean,
    kind: ConnectionFailure,
    now: number,
  ): void {
    this.relays.ended(name);
    if (isRelayed) this.reach.ended(name);
    else this.reach.failed(name, kind, now);
  }

  /** Records that an attempt has ended without a statement of its path. */
  ended(name: string): void {
    this.relays.ended(name);
    this.reach.ended(name);
  }

  /**
   * Records that this process has stalled for `duration` milliseconds until
   * now.
   */
  processStalled(duration: number): void {
    this.reach.processStalled(duration);
    this.relays.processStalled(duration);
  }

  /** Returns the probes that are due. */
  advance(now: number): ServerProbe[] {
    this.relays.advance(now);
    return this.reach.advance(now);
  }

  /**
   * Whether nothing can be sent to any server: none responds to this VM, and no
   * other VM is usable.
   */
  isCutOff(now: number): boolean {
    const { reach, relays } = this;
    return reach.isSilent && relays.choose("", now) === null;
  }

  /**
   * Whether nothing can be sent to servers that other VMs reach, for so long
   * that another VM should take over what this one is responsible for.
   *
   * Once that is so, it ends only with a response. A new term holder names other
   * VMs, which this one has not tried yet: if it took them for usable, it would
   * report its full fitness again, and the new holder would step down for it.
   */
  mustHandOver(now: number): boolean {
    if (this.reach.isSilent && this.relays.areAllFailing) {
      this.#cutOffSince = Math.min(this.#cutOffSince, now);
    } else if (this.#hasPath(now)) this.#cutOffSince = Infinity;
    return now - this.#cutOffSince >= HANDOVER_DELAY;
  }

  /** Whether a path to servers is known or, before a handover, may work. */
  #hasPath(now: number): boolean {
    const { reach, relays } = this;
    const isHandedOver = now - this.#cutOffSince >= HANDOVER_DELAY;
    return !reach.isSilent || !isHandedOver ||
      relays.lastAnsweredAt > this.#cutOffSince;
  }

  /** Sets the path of a probe of a server that may have crashed. */
  withPath(probe: ServerProbe, now: number): ServerProbe {
    return { ...probe, relay: this.to(probe.server, now).relay };
  }

  /**
   * Returns a probe, through another VM, of a server that has refused a direct
   * connection: this VM's links may be the cause. Returns null if no other VM
   * is usable, and `recent` if such a probe was made recently.
   */
  confirmation(
    server: string,
    address: string,
    now: number,
  ): ServerProbe | "recent" | null {
    const relay = this.relays.choose(server, now);
    if (relay === null) return null;
    const confirmedAt = this.#confirmedAt.get(server) ?? -Infinity;
    if (now - confirmedAt < CONFIRMATION_INTERVAL) return "recent";
    if (this.#confirmedAt.size >= MAXIMUM_CONFIRMATIONS) {
      this.#confirmedAt.clear();
    }
    this.#confirmedAt.set(server, now);
    return { kind: "server.check", server, address, relay, purpose: "crash" };
  }
}
