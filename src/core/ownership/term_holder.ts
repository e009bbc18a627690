/**
 * The term holder issues the views of its site: it takes slots from servers
 * that go, waits until nobody can send to them any more, and grants the slots
 * anew. It keeps nothing that a successor could not learn from the log and from
 * the members.
 *
 * @module
 */
import type { SiteConfiguration, SiteService } from "../configuration/index.ts";
import type { Effect, GrantedSlot } from "../effect.ts";
import type { SiteLedger } from "../ledger/index.ts";
import {
  EMPTY_MEMBERSHIP,
  isBlocked,
  type Liveness,
  type Member,
  type Membership,
  sameMember,
} from "../membership/index.ts";
import { comparePositions, fencingToken, type Position } from "../position.ts";
import type { ServerWatch } from "../routing/server_watch.ts";
import { membershipRecord } from "./membership_keeper.ts";
import { LeastLoadedPlacement, type Placement } from "./placement.ts";
import type { ViewReplica } from "./replica.ts";
import { isReplaced, memberKey, TermOpening } from "./term_opening.ts";
import { leaseBound, type OwnershipTiming } from "./timing.ts";
import { type SlotName, Vacancy, type VacancyReason } from "./vacancy.ts";
import type { SlotChange, View, ViewChange } from "./view.ts";

/** What the holder reads of its process. */
export interface HolderContext {
  now: number;
  site: string;
  self: Member;
  timing: OwnershipTiming;
  ledger: SiteLedger;
  configuration: SiteConfiguration;
  replica: ViewReplica;
  liveness: Liveness;
  servers: ServerWatch;
}

/** What a member has adopted and drained. */
interface Acknowledgement {
  adopted: Position;
  drained: Position;
}

/** A process that was left out and may hold a lease for a little longer. */
interface Departure {
  member: Member;
  position: Position;
  until: number | null;
}

/** Imbalance (maximum over mean) that placement leaves alone. */
const TOLERANCE = 1.15;
/** Time between two rounds of moves for the sake of balance. */
const REBALANCE_INTERVAL = 1_000;
/** Part of a service's slots that one round may move. */
const REBALANCE_SHARE = 1 / 16;
/** Time between two sendings of a whole view to the same member. */
const RESEND_INTERVAL = 100;
/** Settling time of a service that is no longer configured. */
const UNKNOWN_SETTLE = 10_000;
/** Time after which an unanswered append of a membership is written again. */
const MEMBERSHIP_RETRY = 1_000;

/** See the module's comment. */
export class TermHolder {
  #term = 0;
  #opening: TermOpening | null = null;
  #openedAt: number | null = null;
  #heldSince = 0;
  #grants = 0;
  #askedAt = -Infinity;
  /** Position of the view that brought the membership in use. */
  #membershipPosition: Position | null = null;
  #vacancies: Vacancy[] = [];
  /** Slots that may be granted at once. */
  #free: SlotName[] = [];
  /** Slots whose grant was pushed to a server and not yet answered. */
  readonly #pushed = new Map<string, number>();
  #changes: SlotChange[] = [];
  readonly #acknowledged = new Map<string, Acknowledgement>();
  #departures: Departure[] = [];
  readonly #resentAt = new Map<string, number>();
  #rebalancedAt = -Infinity;
  #appendedAt = -Infinity;
  #appendedBase = -1;
  readonly #placement: Placement = LeastLoadedPlacement.create(TOLERANCE);

  private constructor() {}

  /** A process that holds no term. */
  static create(): TermHolder {
    return new TermHolder();
  }

  /** Whether this process holds the term and has opened it. */
  get isSteady(): boolean {
    return this.#openedAt !== null;
  }

  /** Starts or stops holding as the log's newest term says. */
  follow(context: HolderContext, out: Effect[]): void {
    const { term } = context.ledger;
    if (term.offset === this.#term) return;
    const held = this.#term !== 0 && (this.isSteady || this.#opening !== null);
    this.#reset(term.offset);
    const isOwn = term.vm === context.self.vm &&
      term.incarnation === context.self.incarnation;
    if (!isOwn) {
      if (held) {
        out.push(note("term.ended", { term: term.offset, holder: term.vm }));
      }
      return;
    }
    this.#heldSince = context.now;
    this.#opening = TermOpening.create(context.ledger);
    out.push(note("term.opening", { term: term.offset, holder: term.vm }));
    this.#opening.ask(context.self, out);
    this.#promiseSelf(context, out);
  }

  /** Counts a member's promise for the term that is being opened. */
  promised(
    context: HolderContext,
    vm: string,
    incarnation: number,
    term: number,
    adopted: Position,
    out: Effect[],
  ): void {
    if (this.#opening === null || term !== this.#term) return;
    this.#opening.promise(vm, incarnation, adopted);
    this.#open(context, null, out);
  }

  /** Takes a whole view that was fetched to open the term with. */
  received(context: HolderContext, view: View, out: Effect[]): void {
    if (this.#opening !== null) this.#open(context, view, out);
  }

  /** Notes what a member has adopted, and sends it what it lacks. */
  acknowledge(
    context: HolderContext,
    member: { vm: string; incarnation: number },
    acknowledgement: Acknowledgement,
    out: Effect[],
  ): void {
    if (!this.isSteady) return;
    const key = memberKey(member.vm, member.incarnation);
    this.#acknowledged.set(key, acknowledgement);
    const { position } = context.replica.view;
    if (comparePositions(acknowledgement.adopted, position) < 0) {
      this.#resend(context, member, out);
    }
    this.#advance(context, out);
  }

  /** Takes a server's answer to a push of grants. */
  granted(
    context: HolderContext,
    service: string,
    server: string,
    slots: readonly GrantedSlot[],
    accepted: boolean,
    out: Effect[],
  ): void {
    if (!this.isSteady) return;
    for (const { slot, token } of slots) {
      const key = slotKey({ service, slot });
      if (this.#pushed.get(key) !== token) continue;
      this.#pushed.delete(key);
      if (accepted) this.#changes.push({ service, slot, server, token });
      else this.#free.push({ service, slot });
    }
    this.#issue(context, out);
  }

  /** Pushes again the grants that a server says it does not know. */
  regrant(context: HolderContext, serverId: string, out: Effect[]): void {
    if (!this.isSteady) return;
    const server = context.servers.find(serverId);
    if (server === undefined) return;
    const slots = (context.replica.view.services[server.service] ?? [])
      .flatMap((each, slot) =>
        each.server === serverId ? [{ slot, token: each.token }] : []
      );
    if (slots.length === 0) return;
    out.push({
      kind: "server.grant",
      service: server.service,
      server: serverId,
      address: server.address,
      slots,
    });
  }

  /** Does what has become due. */
  tick(context: HolderContext, out: Effect[]): void {
    if (this.#opening !== null) {
      if (context.now >= this.#askedAt + context.timing.renewal) {
        this.#askedAt = context.now;
        this.#opening.ask(context.self, out);
      }
      this.#open(context, null, out);
      return;
    }
    if (!this.isSteady) return;
    this.#keepMembership(context, out);
    this.#vacateGone(context, out);
    this.#rebalance(context, out);
    this.#advance(context, out);
  }

  #reset(term: number): void {
    this.#term = term;
    this.#opening = null;
    this.#openedAt = null;
    this.#grants = 0;
    this.#askedAt = -Infinity;
    this.#membershipPosition = null;
    this.#vacancies = [];
    this.#free = [];
    this.#pushed.clear();
    this.#changes = [];
    this.#acknowledged.clear();
    this.#departures = [];
    this.#appendedBase = -1;
  }

  #promiseSelf(context: HolderContext, out: Effect[]): void {
    const { replica, self } = context;
    const adopted = replica.view.position;
    if (!replica.promise(this.#term)) return;
    this.promised(context, self.vm, self.incarnation, this.#term, adopted, out);
  }

  /** Completes the opening once its promises suffice. */
  #open(context: HolderContext, fetched: View | null, out: Effect[]): void {
    const opening = this.#opening;
    if (opening === null) return;
    opening.follow(context.ledger);
    if (!opening.isSettled()) return;
    const own = context.replica.view;
    const known = fetched !== null &&
        comparePositions(fetched.position, own.position) > 0
      ? fetched
      : own;
    const source = opening.source(known.position);
    if (source !== null) {
      out.push(send(source, { kind: "view.fetched" }));
      return;
    }
    const { view, trusted } = opening.base(known);
    this.#opening = null;
    this.#openedAt = context.now;
    this.#begin(context, view, trusted, out);
  }

  /** Issues the term's first view as a whole. */
  #begin(
    context: HolderContext,
    base: View,
    trusted: boolean,
    out: Effect[],
  ): void {
    const position = { term: this.#term, version: 1 };
    const services: View["services"] = {};
    const isFirst = context.ledger.membership.offset === 0;
    for (const [service, slots] of Object.entries(base.services)) {
      services[service] = trusted
        ? slots
        : slots.map(({ token }) => ({ server: null, token }));
      const vacant = services[service]
        .flatMap((slot, index) => slot.server === null ? [index] : [])
        .map((slot) => ({ service, slot }));
      if (vacant.length === 0) continue;
      this.#vacancies.push(Vacancy.create(
        position,
        "opened",
        vacant,
        this.#settle(context, service, "opened"),
        context.now,
      ));
    }
    const membership = isFirst ? EMPTY_MEMBERSHIP : context.ledger.membership;
    const view = { position, membership, services };
    context.replica.adopt(view);
    this.#membershipPosition = position;
    for (const member of this.#receivers(context, membership)) {
      out.push(send(member, { kind: "view.sent", view }));
    }
    out.push(note("term.opened", { term: this.#term, trusted }));
  }

  #keepMembership(context: HolderContext, out: Effect[]): void {
    const { ledger, now } = context;
    const { membership } = ledger;
    if (context.replica.view.membership.offset !== membership.offset) {
      this.#adoptMembership(context, out);
      return;
    }
    if (!this.#isMembershipSettled(context)) return;
    const isPending = this.#appendedBase === membership.offset &&
      now < this.#appendedAt + MEMBERSHIP_RETRY;
    if (isPending) return;
    const record = membershipRecord({ ...context, heldSince: this.#heldSince });
    if (record === null) return;
    this.#appendedAt = now;
    this.#appendedBase = membership.offset;
    out.push({ kind: "log.append", record });
  }

  #adoptMembership(context: HolderContext, out: Effect[]): void {
    const { membership } = context.ledger;
    const old = context.replica.view.membership;
    const position = this.#nextPosition(context);
    for (const member of old.members) {
      if (membership.members.some((each) => sameMember(each, member))) continue;
      this.#departures.push({ member, position, until: null });
    }
    this.#issue(context, out, membership);
  }

  /** Whether no lease of the membership before can be renewed any more. */
  #isMembershipSettled(context: HolderContext): boolean {
    const position = this.#membershipPosition;
    return position !== null && this.#isBlockedAt(context, position);
  }

  /** Takes slots from servers that are lost, leaving or not configured. */
  #vacateGone(context: HolderContext, out: Effect[]): void {
    const { configuration, replica } = context;
    for (const service of configuration.services.values()) {
      if (service.key === undefined) continue;
      if (replica.view.services[service.name] !== undefined) continue;
      for (let slot = 0; slot < service.keySlots; slot++) {
        this.#changes.push({
          service: service.name,
          slot,
          server: null,
          token: 0,
        });
        this.#free.push({ service: service.name, slot });
      }
    }
    const vacated = new Map<VacancyReason, SlotName[]>();
    for (const [name, slots] of Object.entries(replica.view.services)) {
      const service = configuration.services.get(name);
      for (const [slot, { server }] of slots.entries()) {
        if (server === null) continue;
        const reason = this.#reasonToVacate(context, service, server);
        if (reason === null) continue;
        const names = vacated.get(reason) ?? [];
        names.push({ service: name, slot });
        vacated.set(reason, names);
      }
    }
    for (const [reason, slots] of vacated) this.#vacate(context, reason, slots);
    this.#issue(context, out);
  }

  #reasonToVacate(
    { servers }: HolderContext,
    service: SiteService | undefined,
    server: string,
  ): VacancyReason | null {
    const isConfigured = service !== undefined &&
      service.backendServers.some((each) => each.id === server);
    if (!isConfigured) return "removed";
    if (servers.isLost(server)) return "lost";
    const others = servers.eligible(service.name);
    if (servers.isLeaving(server) && others.length > 0) return "leaving";
    return null;
  }

  #vacate(
    context: HolderContext,
    reason: VacancyReason,
    slots: readonly SlotName[],
  ): void {
    const position = this.#nextPosition(context);
    for (const [service, names] of groupByService(slots)) {
      const settle = this.#settle(context, service, reason);
      this.#vacancies.push(Vacancy.create(position, reason, names, settle));
      for (const { slot } of names) {
        const { token } = context.replica.view.services[service][slot];
        this.#changes.push({ service, slot, server: null, token });
      }
    }
  }

  /** How long after a last send an old owner may still run it. */
  #settle(
    { configuration, timing }: HolderContext,
    service: string,
    reason: VacancyReason,
  ): number {
    const found = configuration.services.get(service);
    if (found === undefined) return UNKNOWN_SETTLE;
    return found.checks.lease && reason === "lost"
      ? timing.startWindow + timing.clockError
      : found.maximumTimeout;
  }

  #rebalance(context: HolderContext, out: Effect[]): void {
    if (context.now < this.#rebalancedAt + REBALANCE_INTERVAL) return;
    this.#rebalancedAt = context.now;
    const isBusy = this.#vacancies.length + this.#free.length +
        this.#pushed.size > 0;
    if (isBusy) return;
    for (const service of context.configuration.services.values()) {
      const slots = context.replica.view.services[service.name];
      if (service.key === undefined || slots === undefined) continue;
      const servers = context.servers.eligible(service.name);
      const limit = Math.ceil(slots.length * REBALANCE_SHARE);
      const input = { slots, servers, loads: null };
      const moves = this.#placement.improve(input, limit);
      const names = moves.map(({ slot }) => ({ service: service.name, slot }));
      if (names.length > 0) this.#vacate(context, "moved", names);
    }
    this.#issue(context, out);
  }

  /** Frees vacancies that have waited enough, and grants what is free. */
  #advance(context: HolderContext, out: Effect[]): void {
    this.#releaseDepartures(context);
    const waiting: Vacancy[] = [];
    for (const vacancy of this.#vacancies) {
      const isFree = vacancy.isFree({
        now: context.now,
        drainedByAll: this.#isDrainedAt(context, vacancy.position),
        blocked: this.#isBlockedAt(context, vacancy.position),
        leaseBound: leaseBound(context.timing),
      });
      if (isFree) this.#free.push(...vacancy.slots);
      else waiting.push(vacancy);
    }
    this.#vacancies = waiting;
    this.#grantFree(context, out);
    this.#issue(context, out);
  }

  #grantFree(context: HolderContext, out: Effect[]): void {
    if (this.#free.length === 0) return;
    const kept: SlotName[] = [];
    for (const [name, names] of groupByService(this.#free)) {
      const service = context.configuration.services.get(name);
      const servers = context.servers.eligible(name);
      if (service === undefined || servers.length === 0) {
        kept.push(...names);
        continue;
      }
      this.#grant(
        context,
        service,
        names.map(({ slot }) => slot),
        servers,
        out,
      );
    }
    this.#free = kept;
  }

  #grant(
    context: HolderContext,
    service: SiteService,
    vacant: number[],
    servers: string[],
    out: Effect[],
  ): void {
    const slots = [...(context.replica.view.services[service.name] ?? [])];
    for (let slot = slots.length; slot < service.keySlots; slot++) {
      slots.push({ server: null, token: 0 });
    }
    const placed = this.#placement.fill(
      { slots, servers, loads: null },
      vacant,
    );
    const byServer = new Map<string, GrantedSlot[]>();
    for (const { slot, server } of placed) {
      this.#grants += 1;
      const granted = byServer.get(server) ?? [];
      granted.push({ slot, token: fencingToken(this.#term, this.#grants) });
      byServer.set(server, granted);
    }
    for (const [server, granted] of byServer) {
      out.push(note("slots.granted", {
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
    service: SiteService,
    server: string,
    slots: GrantedSlot[],
    out: Effect[],
  ): void {
    if (!service.checks.token) {
      this.#changes.push(...slots.map(({ slot, token }) => ({
        service: service.name,
        slot,
        server,
        token,
      })));
      return;
    }
    for (const { slot, token } of slots) {
      this.#pushed.set(slotKey({ service: service.name, slot }), token);
    }
    out.push({
      kind: "server.grant",
      service: service.name,
      server,
      address: context.servers.find(server)!.address,
      slots,
    });
  }

  /** Issues what has gathered as one view, if anything has. */
  #issue(
    context: HolderContext,
    out: Effect[],
    membership?: Membership,
  ): void {
    if (this.#changes.length === 0 && membership === undefined) return;
    const { replica } = context;
    const old = replica.view.membership;
    const change: ViewChange = {
      from: replica.view.position,
      to: this.#nextPosition(context),
      membership,
      changes: this.#changes,
    };
    this.#changes = [];
    replica.change(change);
    if (membership !== undefined) this.#membershipPosition = change.to;
    const lost = context.servers.lost();
    for (const member of this.#receivers(context, old)) {
      out.push(send(member, { kind: "view.changed", change, lost }));
    }
    out.push(note("view.issued", {
      term: change.to.term,
      version: change.to.version,
      changes: change.changes.length,
    }));
  }

  #receivers({ replica, self }: HolderContext, old: Membership): Member[] {
    const { members } = replica.view.membership;
    const left = old.members.filter((member) =>
      !members.some((each) => sameMember(each, member))
    );
    return [...members, ...left].filter((member) => member.vm !== self.vm);
  }

  #nextPosition({ replica }: HolderContext): Position {
    return { term: this.#term, version: replica.view.position.version + 1 };
  }

  #hasReached(
    context: HolderContext,
    member: Member,
    position: Position,
    step: keyof Acknowledgement,
  ): boolean {
    if (step === "adopted" && sameMember(member, context.self)) {
      return comparePositions(context.replica.view.position, position) >= 0;
    }
    const key = memberKey(member.vm, member.incarnation);
    const acknowledged = this.#acknowledged.get(key);
    return acknowledged !== undefined &&
      comparePositions(acknowledged[step], position) >= 0;
  }

  /** Whether every process that may hold a lease has let go and drained. */
  #isDrainedAt(context: HolderContext, position: Position): boolean {
    const opened = this.#openedAt ?? Infinity;
    const isFirst = context.ledger.previousWitnesses.length === 0;
    if (!isFirst && context.now < opened + leaseBound(context.timing)) {
      return false;
    }
    const { members } = context.replica.view.membership;
    const departing = this.#departures.map((each) => each.member);
    return [...members, ...departing].every((member) =>
      this.#hasReached(context, member, position, "drained")
    );
  }

  /** Whether no lease on a view before `position` can be renewed any more. */
  #isBlockedAt(context: HolderContext, position: Position): boolean {
    const { ledger, replica } = context;
    const stopped = (witness: Member) =>
      isReplaced(ledger, witness) ||
      this.#hasReached(context, witness, position, "adopted");
    const sets = [
      replica.view.membership.witnesses,
      ledger.membership.witnesses,
      ledger.previousWitnesses,
    ];
    return sets.every((set) => set.length === 0 || isBlocked(set, stopped));
  }

  #releaseDepartures(context: HolderContext): void {
    for (const departure of this.#departures) {
      if (departure.until !== null) continue;
      if (!this.#isBlockedAt(context, departure.position)) continue;
      departure.until = context.now + leaseBound(context.timing);
    }
    this.#departures = this.#departures.filter(({ until }) =>
      until === null || context.now < until
    );
  }

  #resend(
    context: HolderContext,
    { vm, incarnation }: { vm: string; incarnation: number },
    out: Effect[],
  ): void {
    const member = context.replica.view.membership.members.find((each) =>
      each.vm === vm && each.incarnation === incarnation
    );
    if (member === undefined || vm === context.self.vm) return;
    const key = memberKey(vm, incarnation);
    const last = this.#resentAt.get(key) ?? -Infinity;
    if (context.now < last + RESEND_INTERVAL) return;
    this.#resentAt.set(key, context.now);
    out.push(send(member, { kind: "view.sent", view: context.replica.view }));
  }
}

function slotKey({ service, slot }: SlotName): string {
  return `${service}/${slot}`;
}

function groupByService(slots: readonly SlotName[]): Map<string, SlotName[]> {
  const groups = new Map<string, SlotName[]>();
  for (const name of slots) {
    const group = groups.get(name.service);
    if (group === undefined) groups.set(name.service, [name]);
    else group.push(name);
  }
  return groups;
}

function send(
  member: Member,
  message: Extract<Effect, { kind: "peer.send" }>["message"],
): Effect {
  return {
    kind: "peer.send",
    to: member.vm,
    address: member.peerAddress,
    message,
  };
}

function note(
  decision: string,
  detail: Record<string, string | number | boolean | null>,
): Effect {
  return { kind: "note", level: "info", decision, detail };
}
