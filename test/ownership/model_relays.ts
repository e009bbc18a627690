/**
 * Connections of VMs to servers through other VMs, under virtual time.
 *
 * @module
 */
import type { UntimedEvent } from "../../src/core/entry_event.ts";
import type { RelayOpen } from "../../src/core/reach/index.ts";
import type { ServerLinks } from "./request_load.ts";
import type { Timeline } from "./timeline.ts";

/** One-way delay between two VMs, or a VM and a server, in milliseconds. */
const HOP = 2;
/** Timeout for opening a connection through another VM, in milliseconds. */
const OPEN_TIMEOUT = 400;
/** Connect timeout of the VM between, in milliseconds. */
const CONNECT_TIMEOUT = 250;
/**
 * Delay after which the VM between discards bytes with their connection, in
 * milliseconds.
 */
const MAXIMUM_DELAY = 250;

/** State of the VMs, by index. */
export interface RelayVms {
  /** Index of the VM at a peer address, or undefined. */
  indexOf(address: string): number | undefined;
  addressOf(vm: number): string;
  isUp(vm: number): boolean;
  /** Time for which a VM does not run, in milliseconds. */
  frozenFor(vm: number): number;
  areCut(vm: number, other: number): boolean;
  serverLinks(vm: number): ServerLinks;
  acceptsConnections(address: string): boolean;
  handle(vm: number, event: UntimedEvent): void;
}

/** Result of opening a connection. */
export type RelayResult =
  | { kind: "opened"; connection: RelayedConnection }
  /** The VM between could not be used. */
  | { kind: "fault" }
  /** The server's address refused the connection. */
  | { kind: "refused" }
  /** The server did not respond. */
  | { kind: "silent" };

/** A connection through another VM. */
export class RelayedConnection {
  isOpen = true;
  /** Whether an order is in flight on it. */
  isInUse = false;
  /** Whether it is closed after its next response. */
  isRetired = false;
  /** Called when the connection breaks. */
  onBroken: () => void = () => {};

  constructor(
    private readonly relays: ModelRelays,
    readonly number: number,
    readonly vm: number,
    readonly relay: number,
  ) {}

  /** Calls `deliver` when bytes of the VM arrive at the server. */
  toServer(deliver: () => void): void {
    this.relays.passOn(this, () => {
      const links = this.relays.linksOf(this.relay);
      if (links === "reset") return this.break();
      if (links !== "silent") this.relays.after(this, deliver);
    });
  }

  /** Calls `deliver` when bytes of the server arrive at the VM. */
  toVm(deliver: () => void): void {
    const links = this.relays.linksOf(this.relay);
    if (links === "silent" || links === "one_way") return;
    this.relays.passOn(this, () => this.relays.after(this, deliver));
  }

  /** Closes the connection. */
  close(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.relays.ended(this);
  }

  /** Breaks the connection, which its VM notices. */
  break(): void {
    if (!this.isOpen) return;
    this.close();
    this.onBroken();
  }
}

/** See the module's comment. */
export class ModelRelays {
  readonly #connections = new Map<number, RelayedConnection>();
  readonly #opening = new Map<number, (result: RelayResult) => void>();
  #count = 0;

  private constructor(
    private readonly time: Timeline,
    private readonly vms: RelayVms,
  ) {}

  /** Creates a model without connections. */
  static create(time: Timeline, vms: RelayVms): ModelRelays {
    return new ModelRelays(time, vms);
  }

  linksOf(vm: number): ServerLinks {
    return this.vms.serverLinks(vm);
  }

  /** Opens a connection; calls `done` once. */
  open(
    vm: number,
    relayAddress: string,
    server: string,
    address: string,
    done: (result: RelayResult) => void,
  ): void {
    const relay = this.vms.indexOf(relayAddress);
    if (relay === undefined || this.vms.areCut(vm, relay)) {
      return this.time.after(OPEN_TIMEOUT, () => done({ kind: "fault" }));
    }
    this.time.after(HOP, () => {
      if (!this.vms.isUp(relay)) {
        return this.time.after(HOP, () => done({ kind: "fault" }));
      }
      if (this.vms.frozenFor(relay) > 0) {
        return this.time.after(OPEN_TIMEOUT, () => done({ kind: "fault" }));
      }
      this.#count += 1;
      const connection = this.#count;
      this.#connections.set(
        connection,
        new RelayedConnection(this, connection, vm, relay),
      );
      this.#opening.set(connection, done);
      const request = {
        connection,
        vm: this.vms.addressOf(vm),
        server,
        address,
        lateness: 0,
      };
      this.vms.handle(relay, { kind: "relay.requested", request });
    });
  }

  /** Carries out a VM's decision to connect to a server. */
  connect({ connection, address }: RelayOpen): void {
    const found = this.#connections.get(connection)!;
    const links = this.vms.serverLinks(found.relay);
    if (links === "refused") return this.#fail(connection, "refused", 2 * HOP);
    if (links !== "open") {
      return this.#fail(connection, "silent", CONNECT_TIMEOUT);
    }
    if (!this.vms.acceptsConnections(address)) {
      return this.#fail(connection, "refused", 2 * HOP);
    }
    this.time.after(3 * HOP, () => {
      const done = this.#opening.get(connection);
      this.#opening.delete(connection);
      if (found.isOpen) done?.({ kind: "opened", connection: found });
      else done?.({ kind: "fault" });
    });
  }

  /** Carries out a VM's decision to refuse a connection. */
  refuse(connection: number): void {
    this.#connections.delete(connection);
    this.#finish(connection, { kind: "fault" });
  }

  #fail(connection: number, kind: "refused" | "silent", delay: number): void {
    this.time.after(delay, () => {
      this.#connections.get(connection)?.close();
      this.#finish(connection, { kind });
    });
  }

  #finish(connection: number, result: RelayResult): void {
    const done = this.#opening.get(connection);
    this.#opening.delete(connection);
    this.time.after(HOP, () => done?.(result));
  }

  /** Breaks all connections through a VM, which has ended or reset them. */
  breakAll(relay: number): void {
    for (const each of [...this.#connections.values()]) {
      if (each.relay === relay) each.break();
    }
  }

  /** Closes all connections of a VM, which has ended. */
  closeAll(vm: number): void {
    for (const each of [...this.#connections.values()]) {
      if (each.vm === vm) each.close();
    }
  }

  /** Marks the connections of a VM through a VM that is about to stop. */
  retire(vm: number, relayAddress: string): void {
    const relay = this.vms.indexOf(relayAddress);
    for (const each of this.#connections.values()) {
      if (each.vm === vm && each.relay === relay) each.isRetired = true;
    }
  }

  /** Calls `forward` when bytes arrive at the VM between. */
  passOn(connection: RelayedConnection, forward: () => void): void {
    const { vm, relay } = connection;
    if (this.vms.areCut(vm, relay)) return;
    this.after(connection, () => {
      const wait = this.vms.frozenFor(relay);
      if (wait <= 0) return forward();
      this.time.after(wait, () => {
        if (!connection.isOpen) return;
        if (wait > MAXIMUM_DELAY) connection.break();
        else forward();
      });
    });
  }

  /** Calls `action` one hop later if the connection is still open. */
  after(connection: RelayedConnection, action: () => void): void {
    this.time.after(HOP, () => {
      if (connection.isOpen) action();
    });
  }

  /** Reports the end of a connection to the VM between. */
  ended({ number, relay }: RelayedConnection): void {
    this.#connections.delete(number);
    this.time.after(HOP, () => {
      const event = { kind: "relay.ended", connection: number } as const;
      if (this.vms.isUp(relay)) this.vms.handle(relay, event);
    });
  }
}
