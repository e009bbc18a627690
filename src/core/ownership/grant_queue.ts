/**
 * Slots that may be granted, and grants that servers have yet to accept.
 *
 * @module
 */
import type { SiteService } from "../configuration/index.ts";
import type { Effect, GrantedSlot } from "../effect.ts";
import type { GrantResult } from "../event.ts";
import { fencingToken } from "../position.ts";
import { type HolderContext, noteOf } from "./holder_context.ts";
import type { Placement } from "./placement.ts";
import type { SlotName } from "./vacancy.ts";
import type { SlotChange } from "./view.ts";

/** See the module's comment. */
export class GrantQueue {
  #free: SlotName[] = [];
  /** Tokens of grants that a server has not answered yet, by slot. */
  readonly #pushed = new Map<string, number>();
  #accepted: SlotChange[] = [];
  #grants = 0;

  private constructor(
    private readonly term: number,
    private readonly placement: Placement,
  ) {}

  /** An empty queue for grants of `term`. */
  static create(term: number, placement: Placement): GrantQueue {
    return new GrantQueue(term, placement);
  }

  /** Whether nothing waits to be granted. */
  get isIdle(): boolean {
    return this.#free.length === 0 && this.#pushed.size === 0;
  }

  /** Takes in slots that nobody can be sent to any more. */
  add(slots: readonly SlotName[]): void {
    for (const slot of slots) this.#free.push(slot);
  }

  /** Grants what is free to the servers that may hold slots. */
  grant(context: HolderContext, out: Effect[]): void {
    if (this.#free.length === 0) return;
    const kept: SlotName[] = [];
    for (const [name, slots] of groupByService(this.#free)) {
      const service = context.configuration.services.get(name);
      const servers = context.servers.eligible(name);
      if (service === undefined || servers.length === 0) kept.push(...slots);
      else this.#place(context, service, slots, servers, out);
    }
    this.#free = kept;
  }

  /** Takes a server's answer to a push. */
  answer({ service, server, slots, accepted }: GrantResult): void {
    for (const { slot, token } of slots) {
      const key = `${service}/${slot}`;
      if (this.#pushed.get(key) !== token) continue;
      this.#pushed.delete(key);
      if (accepted) this.#accepted.push({ service, slot, server, token });
      else this.#free.push({ service, slot });
    }
  }

  /** The grants that stand now and belong into the next view. */
  takeAccepted(): SlotChange[] {
    const accepted = this.#accepted;
    this.#accepted = [];
    return accepted;
  }

  #place(
    context: HolderContext,
    service: SiteService,
    vacant: readonly SlotName[],
    servers: string[],
    out: Effect[],
  ): void {
    const slots = context.replica.view.services[service.name] ?? [];
    const placed = this.placement.fill(
      { slots, servers, loads: null },
      vacant.map(({ slot }) => slot),
    );
    const byServer = new Map<string, GrantedSlot[]>();
    for (const { slot, server } of placed) {
      this.#grants += 1;
      const granted = byServer.get(server) ?? [];
      granted.push({ slot, token: fencingToken(this.term, this.#grants) });
      byServer.set(server, granted);
    }
    for (const [server, granted] of byServer) {
      out.push(noteOf("slots.granted", {
        service: service.name,
        server,
        slots: granted.length,
        token: granted[granted.length - 1].token,
      }));
      this.#grantTo(context, service, server, granted, out);
    }
  }

  #grantTo(
    context: HolderContext,
    { name, checks }: SiteService,
    server: string,
    slots: GrantedSlot[],
    out: Effect[],
  ): void {
    if (!checks.token) {
      for (const { slot, token } of slots) {
        this.#accepted.push({ service: name, slot, server, token });
      }
      return;
    }
    for (const { slot, token } of slots) {
      this.#pushed.set(`${name}/${slot}`, token);
    }
    const { address } = context.servers.find(server)!;
    out.push({ kind: "server.grant", service: name, server, address, slots });
  }
}

/** Slots by the service that they belong to. */
export function groupByService(
  slots: readonly SlotName[],
): Map<string, SlotName[]> {
  const groups = new Map<string, SlotName[]>();
  for (const name of slots) {
    const group = groups.get(name.service);
    if (group === undefined) groups.set(name.service, [name]);
    else group.push(name);
  }
  return groups;
}
