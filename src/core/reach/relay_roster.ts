/**
 * The VMs that reach the servers, as the term holder knows them from reports.
 * It names some of them to each VM, for the case that this VM is cut from the
 * servers.
 *
 * @module
 */
import { hashOf } from "./text_hash.ts";

/** Number of VMs that are named to each VM. */
const NAMED_VMS = 4;
/**
 * Time after its last report for which a VM is named, in milliseconds. VMs
 * report twice a second, and at once when this changes.
 */
const REPORT_LIFETIME = 1_500;
/** Interval between two updates of the groups, in milliseconds. */
const GROUP_INTERVAL = 200;

interface ReachingVm {
  zone: string;
  at: number;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class RelayRoster {
  readonly #vms = new Map<string, ReachingVm>();
  /** Addresses of the VMs by zone, each list in order of the hashes. */
  #groups: string[][] = [];
  #groupedAt = -Infinity;

  private constructor() {}

  /** Creates a roster without VMs. */
  static create(): RelayRoster {
    return new RelayRoster();
  }

  /**
   * Records whether the VM at `address` reaches the servers: `zone` is its
   * availability zone if so, otherwise undefined.
   */
  reported(address: string, zone: string | undefined, now: number): void {
    const isNew = (zone === undefined) === this.#vms.has(address);
    if (zone === undefined) this.#vms.delete(address);
    else this.#vms.set(address, { zone, at: now });
    if (isNew) this.#groupedAt = -Infinity;
  }

  /**
   * Returns the addresses of VMs that reach the servers for the VM at
   * `address`, of as many zones as possible. Different VMs get different ones.
   */
  relaysFor(address: string, now: number): string[] {
    this.#updateGroups(now);
    const chosen: string[] = [];
    const longest = Math.max(0, ...this.#groups.map(({ length }) => length));
    const offset = hashOf(address);
    for (let i = 0; i < longest && chosen.length < NAMED_VMS; i++) {
      for (const group of this.#groups) {
        if (i >= group.length || chosen.length >= NAMED_VMS) continue;
        const relay = group[(offset + i) % group.length];
        if (relay !== address) chosen.push(relay);
      }
    }
    return chosen;
  }

  #updateGroups(now: number): void {
    if (now - this.#groupedAt < GROUP_INTERVAL) return;
    this.#groupedAt = now;
    const byZone = new Map<string, string[]>();
    for (const [address, { zone, at }] of this.#vms) {
      if (now - at > REPORT_LIFETIME) this.#vms.delete(address);
      else byZone.set(zone, [...byZone.get(zone) ?? [], address]);
    }
    this.#groups = [...byZone.values()].map((group) =>
      group.sort((a, b) => hashOf(a) - hashOf(b))
    );
  }
}
