/**
 * Decides which connections to servers this VM opens for other VMs, which do
 * not reach these servers directly.
 *
 * This VM passes on the bytes of such a connection and does not interpret them.
 * Requests, their deadlines, retries and limits remain those of the other VM,
 * so nothing is counted twice. It connects only directly: a VM that is isolated
 * itself refuses, so that no request goes around in circles.
 *
 * @module
 */
import type { Fleet } from "../fleet/index.ts";

/** Maximum number of connections for all other VMs together. */
const MAXIMUM_CONNECTIONS = 1_024;
/** Maximum number of connections for one VM. */
const MAXIMUM_PER_VM = 256;
/**
 * Delay of the event loop above which this VM opens no further connections, in
 * milliseconds: it has no processor time to spare.
 */
const MAXIMUM_LATENESS = 200;

/** Why a connection is not opened. */
export type RelayRefusal =
  /** This VM is about to stop. */
  | "stopping"
  /** This VM does not reach the servers directly either. */
  | "isolated"
  /** No server with this id is listed at this address. */
  | "unknown_server"
  /** This VM has too many such connections or too little processor time. */
  | "busy";

/** A request of another VM to open a connection to a server. */
export interface RelayRequest {
  /** Number of the connection between the VMs, unique in this process. */
  connection: number;
  /** Peer address of the other VM. */
  vm: string;
  server: string;
  address: string;
  /** Current delay of this process's event loop, in milliseconds. */
  lateness: number;
}

/** Effect that opens the connection to the server. */
export interface RelayOpen {
  kind: "relay.open";
  connection: number;
  address: string;
}

/** Effect that refuses to open it. */
export interface RelayRefuse {
  kind: "relay.refuse";
  connection: number;
  reason: RelayRefusal;
}

/** See the module's comment. */
export class RelayGate {
  /** Peer addresses of the other VMs, by connection. */
  readonly #vms = new Map<number, string>();

  private constructor(private readonly fleet: Fleet) {}

  /** Creates a gate that connects to the servers of `fleet`. */
  static create(fleet: Fleet): RelayGate {
    return new RelayGate(fleet);
  }

  /** Number of connections that are open or being opened. */
  get connections(): number {
    return this.#vms.size;
  }

  /** Peer addresses of the VMs that have connections through this VM. */
  get users(): string[] {
    return [...new Set(this.#vms.values())];
  }

  /**
   * Decides on a request. `reachesServers` tells whether this VM reaches the
   * servers directly.
   */
  requested(
    { connection, vm, server, address, lateness }: RelayRequest,
    reachesServers: boolean,
    isStopping: boolean,
  ): RelayOpen | RelayRefuse {
    const refuse = (reason: RelayRefusal): RelayRefuse => ({
      kind: "relay.refuse",
      connection,
      reason,
    });
    if (isStopping) return refuse("stopping");
    if (!reachesServers) return refuse("isolated");
    if (this.fleet.get(server)?.entry.address !== address) {
      return refuse("unknown_server");
    }
    const ofVm = [...this.#vms.values()].filter((each) => each === vm).length;
    const isFull = this.#vms.size >= MAXIMUM_CONNECTIONS ||
      ofVm >= MAXIMUM_PER_VM;
    if (isFull || lateness > MAXIMUM_LATENESS) return refuse("busy");
    this.#vms.set(connection, vm);
    return { kind: "relay.open", connection, address };
  }

  /** Records that a connection has ended or could not be opened. */
  ended(connection: number): void {
    this.#vms.delete(connection);
  }
}
