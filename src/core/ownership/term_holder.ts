/**
 * The term holder issues the views of its site: it takes slots from servers
 * that go, waits until nobody can send to them any more, and grants the slots
 * anew. It keeps nothing that a successor could not learn from the log and from
 * the members.
 *
 * @module
 */
import type { SiteService } from "../configuration/index.ts";
import type { Effect } from "../effect.ts";
import type { GrantResult } from "../event.ts";
import {
  EMPTY_MEMBERSHIP,
  includesMember,
  type Member,
  type Membership,
} from "../membership/index.ts";
import type { Message } from "../message.ts";
import { comparePositions, type Position } from "../position.ts";
import { AdoptionTracker, type Progress } from "./adoption_tracker.ts";
import { GrantQueue, groupByService } from "./grant_queue.ts";
import { type HolderContext, noteOf, sendTo } from "./holder_context.ts";
import { membershipRecord } from "./membership_keeper.ts";
import { LeastLoadedPlacement, type Placement } from "./placement.ts";
import { memberKey, TermOpening } from "./term_opening.ts";
import { leaseBound } from "./timing.ts";
import { type SlotName, Vacancy, type VacancyReason } from "./vacancy.ts";
import type { SlotChange, View, ViewChange } from "./view.ts";

/** Imbalance (maximum over mean) that placement leaves alone. */
const TOLERANCE = 1.15;
/** Time between two rounds of moves for the sake of balance. */
const REBALANCE_INTERVAL = 1_000;
/** Part of a service's slots that one round may move. */
const REBALANCE_SHARE = 1 / 16;
/** Time after which a move is taken back; nothing forces it. */
const MOVE_PATIENCE = 300;
/** Time between two sendings of a whole view to the same member. */
const RESEND_INTERVAL = 100;
/** Time after which an unanswered append of a membership is written again. */
const MEMBERSHIP_RETRY = 1_000;
/** Settling time of a service that is no longer configured. */
const UNKNOWN_SETTLE = 10_000;

/** A term that is open: what its holder has under way. */
interface OpenTerm {
  openedAt: number;
  /** Position of the view that brought the membership in use. */
  membershipPosition: Position;
  vacancies: Vacancy[];
  grants: GrantQueue;
  tracker: AdoptionTracker;
  /** What the servers and slots were when they were last looked through. */
  inspected: string;
  rebalancedAt: number;
  membershipCheckedAt: number;
  /** Membership on which the last record was based, and when it was written. */
  appended: { basedOn: number; at: number } | null;
  /** When each member was last sent a whole view. */
  resentAt: Map<string, number>;
}

/** See the module's comment. */
export class TermHolder {
  #term = 0;
  #heldSince = 0;
  #opening: TermOpening | null = null;
  #askedAt = -Infinity;
  #open: OpenTerm | null = null;
  readonly #placement: Placement = LeastLoadedPlacement.create(TOLERANCE);

  private constructor() {}

  /** A process that holds no term. */
  static create(): TermHolder {
    return new TermHolder();
  }

  /** Whether this process holds the term and has opened it. */
  get isSteady(): boolean {
    return this.#open !== null;
  }

  /** Starts or stops holding as the log's newest term says. */
  follow(context: HolderContext, out: Effect[]): void {
    const { ledger, self } = context;
    const { term } = ledger;
    if (term.offset === this.#term) return;
    const held = this.#open !== null || this.#opening !== null;
    this.#term = term.offset;
    this.#open = null;
    this.#opening = null;
    if (term.vm !== self.vm || term.incarnation !== self.incarnation) {
      const detail = { term: term.offset, holder: term.vm };
      if (held) out.push(noteOf("term.ended", detail));
      return;
    }
    this.#heldSince = context.now;
    this.#opening = TermOpening.create(ledger);
    out.push(noteOf("term.opening", { term: term.offset, holder: term.vm }));
    this.#askPromises(context, out);
    const adopted = context.replica.view.position;
    if (!context.replica.promise(this.#term)) return;
    this.promised(context, self, this.#term, adopted, out);
  }

  /** Counts a member's promise for the term that is being opened. */
  promised(
    context: HolderContext,
    { vm, incarnation }: { vm: string; incarnation: number },
    term: number,
    adopted: Position,
    out: Effect[],
  ): void {
    if (this.#opening === null || term !== this.#term) return;
    this.#opening.promise(vm, incarnation, adopted);
    this.#completeOpening(context, null, out);
  }

  /** Takes a whole view that was fetched to open the term with. */
  received(context: HolderContext, view: View, out: Effect[]): void {
    if (this.#opening !== null) this.#completeOpening(context, view, out);
  }

  /** Notes how far a member has come, and sends it what it lacks. */
  acknowledge(
    context: HolderContext,
    { vm, incarnation }: { vm: string; incarnation: number },
    progress: Progress,
    out: Effect[],
  ): void {
    const open = this.#open;
    if (open === null) return;
    open.tracker.report(vm, incarnation, progress);
    const { position } = context.replica.view;
    if (comparePositions(progress.adopted, position) < 0) {
      this.#resend(context, open, vm, incarnation, out);
    }
    if (open.vacancies.length > 0) this.#advance(context, open, out);
  }

  /** Takes a server's answer to a push of grants. */
  granted(context: HolderContext, result: GrantResult, out: Effect[]): void {
    const open = this.#open;
    if (open === null) return;
    open.grants.answer(result);
    this.#issue(context, open, open.grants.takeAccepted(), null, out);
  }

  /** Pushes again the grants that a server says it does not know. */
  regrant(context: HolderContext, serverId: string, out: Effect[]): void {
    const server = context.servers.find(serverId);
    if (this.#open === null || server === undefined) return;
    const slots = (context.replica.view.services[server.service] ?? [])
      .flatMap((each, slot) =>
        each.server === serverId ? [{ slot, token: each.token }] : []
      );
    if (slots.length === 0) return;
    const { service, address } = server;
    out.push({
      kind: "server.grant",
      service,
      server: serverId,
      address,
      slots,
    });
  }

  /** Does what has become due. */
  tick(context: HolderContext, out: Effect[]): void {
    if (this.#opening !== null) {
      this.#askPromises(context, out);
      this.#completeOpening(context, null, out);
    }
    const open = this.#open;
    if (open === null) return;
    this.#keepMembership(context, open, out);
    this.#inspect(context, open, out);
    this.#rebalance(context, open, out);
    this.#advance(context, open, out);
  }

  // Opening a term.

  #askPromises(context: HolderContext, out: Effect[]): void {
    if (context.now < this.#askedAt + context.timing.renewal) return;
    this.#askedAt = context.now;
    this.#opening?.ask(context.self, out);
  }

  /** Opens the term once its promises suffice. */
  #completeOpening(
    context: HolderContext,
    fetched: View | null,
    out: Effect[],
  ): void {
    const opening = this.#opening;
    if (opening === null) return;
    opening.follow(context.ledger);
    if (!opening.isSettled()) return;
    const own = context.replica.view;
    const isNewer = fetched !== null &&
      comparePositions(fetched.position, own.position) > 0;
    const known = isNewer ? fetched : own;
    const source = opening.source(known.position);
    if (source !== null) {
      out.push(sendTo(source, { kind: "view.fetched" }));
      return;
    }
    const { view, trusted } = opening.base(known);
    this.#opening = null;
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
    const isFirst = context.ledger.membership.offset === 0;
    const membership = isFirst ? EMPTY_MEMBERSHIP : context.ledger.membership;
    const services = trusted ? base.services : withoutOwners(base.services);
    const view: View = { position, membership, services };
    const open: OpenTerm = {
      openedAt: context.now,
      membershipPosition: position,
      vacancies: [],
      grants: GrantQueue.create(this.#term, this.#placement),
      tracker: AdoptionTracker.create(),
      inspected: "",
      rebalancedAt: -Infinity,
      membershipCheckedAt: -Infinity,
      appended: null,
      resentAt: new Map(),
    };
    this.#open = open;
    context.replica.adopt(view);
    const vacant = vacantSlots(services);
    this.#addVacancies(context, open, position, "opened", vacant);
    const message: Message = { kind: "view.sent", view };
    for (const member of receivers(context, membership)) {
      out.push(sendTo(member, message));
    }
    out.push(noteOf("term.opened", { term: this.#term, trusted }));
  }

  // The membership.

  #keepMembership(
    context: HolderContext,
    open: OpenTerm,
    out: Effect[],
  ): void {
    const { ledger, now, timing, replica } = context;
    const { membership } = ledger;
    const used = replica.view.membership;
    if (used.offset !== membership.offset) {
      const position = this.#nextPosition(context);
      open.tracker.depart(used, membership, position);
      open.membershipPosition = position;
      this.#issue(context, open, [], membership, out);
      return;
    }
    if (now < open.membershipCheckedAt + timing.renewal) return;
    open.membershipCheckedAt = now;
    const { appended, tracker } = open;
    const isPending = appended?.basedOn === membership.offset &&
      now < appended.at + MEMBERSHIP_RETRY;
    if (isPending) return;
    if (!tracker.isBlockedAt(context, open.membershipPosition)) return;
    const record = membershipRecord({ ...context, heldSince: this.#heldSince });
    if (record === null) return;
    open.appended = { basedOn: membership.offset, at: now };
    out.push({ kind: "log.append", record });
  }

  // Slots.

  /** Looks through all slots if servers, configuration or owners changed. */
  #inspect(context: HolderContext, open: OpenTerm, out: Effect[]): void {
    const { configuration, replica, servers } = context;
    const state = `${configuration.revision} ${servers.version} ${
      JSON.stringify(replica.view.position)
    }`;
    if (state === open.inspected) return;
    open.inspected = state;
    const changes: SlotChange[] = [];
    for (const service of configuration.services.values()) {
      const isNew = service.key !== undefined &&
        replica.view.services[service.name] === undefined;
      if (!isNew) continue;
      const slots = newSlots(service);
      open.grants.add(slots);
      changes.push(
        ...slots.map((each) => ({ ...each, server: null, token: 0 })),
      );
    }
    for (const [reason, slots] of this.#findGone(context)) {
      changes.push(...this.#vacate(context, open, reason, slots));
    }
    this.#issue(context, open, changes, null, out);
  }

  /** Slots of servers that are lost, leaving or no longer configured. */
  #findGone(context: HolderContext): Map<VacancyReason, SlotName[]> {
    const { configuration, replica } = context;
    const gone = new Map<VacancyReason, SlotName[]>();
    for (const [name, slots] of Object.entries(replica.view.services)) {
      const service = configuration.services.get(name);
      const reasons = new Map<string, VacancyReason | null>();
      for (const [slot, { server }] of slots.entries()) {
        if (server === null) continue;
        let reason = reasons.get(server);
        if (reason === undefined) {
          reason = reasonToVacate(context, service, server);
          reasons.set(server, reason);
        }
        if (reason === null) continue;
        const names = gone.get(reason) ?? [];
        names.push({ service: name, slot });
        gone.set(reason, names);
      }
    }
    return gone;
  }

  /** Changes that take slots from their owners; they wait from then on. */
  #vacate(
    context: HolderContext,
    open: OpenTerm,
    reason: VacancyReason,
    slots: readonly SlotName[],
  ): SlotChange[] {
    const position = this.#nextPosition(context);
    this.#addVacancies(context, open, position, reason, slots);
    const { services } = context.replica.view;
    return slots.map(({ service, slot }) => ({
      service,
      slot,
      server: null,
      token: services[service][slot].token,
    }));
  }

  #addVacancies(
    context: HolderContext,
    open: OpenTerm,
    position: Position,
    reason: VacancyReason,
    slots: readonly SlotName[],
  ): void {
    for (const [service, names] of groupByService(slots)) {
      open.vacancies.push(Vacancy.create({
        position,
        reason,
        slots: names,
        settle: settleTime(context, service, reason),
        waitingFor: open.tracker.leaseHolders(context),
        blockedAt: reason === "opened" ? context.now : null,
        since: context.now,
        undo: reason === "moved" ? currentGrants(context, names) : null,
      }));
    }
  }

  #rebalance(context: HolderContext, open: OpenTerm, out: Effect[]): void {
    if (context.now < open.rebalancedAt + REBALANCE_INTERVAL) return;
    open.rebalancedAt = context.now;
    if (open.vacancies.length > 0 || !open.grants.isIdle) return;
    if (!hearsAll(context)) return;
    const changes: SlotChange[] = [];
    for (const service of context.configuration.services.values()) {
      const slots = context.replica.view.services[service.name];
      if (service.key === undefined || slots === undefined) continue;
      const servers = context.servers.eligible(service.name);
      const limit = Math.ceil(slots.length * REBALANCE_SHARE);
      const input = { slots, servers, loads: null };
      const moves = this.#placement.improve(input, limit);
      const names = moves.map(({ slot }) => ({ service: service.name, slot }));
      changes.push(...this.#vacate(context, open, "moved", names));
    }
    this.#issue(context, open, changes, null, out);
  }

  /** Frees vacancies that have waited enough, and grants what is free. */
  #advance(context: HolderContext, open: OpenTerm, out: Effect[]): void {
    open.tracker.releaseDeparted(context);
    const undone = open.vacancies.length > 0
      ? this.#freeVacancies(context, open)
      : [];
    open.grants.grant(context, out);
    const accepted = open.grants.takeAccepted();
    this.#issue(context, open, [...undone, ...accepted], null, out);
  }

  /** Returns the changes that give slots back to their owners. */
  #freeVacancies(context: HolderContext, open: OpenTerm): SlotChange[] {
    const { tracker } = open;
    const holders = tracker.leaseHolders(context);
    // Until the leases of the term before have run out, processes may hold some
    // that the log no longer names.
    const isFirst = context.ledger.previousWitnesses.length === 0;
    const bound = leaseBound(context.timing);
    const knowsAll = isFirst || context.now >= open.openedAt + bound;
    const undone: SlotChange[] = [];
    open.vacancies = open.vacancies.filter((vacancy) => {
      const { position } = vacancy;
      const isFree = vacancy.isFree({
        now: context.now,
        isAwaited: (member) =>
          !knowsAll || tracker.isAwaited(member, position, holders),
        isBlocked: () => tracker.isBlockedAt(context, position),
        leaseBound: bound,
      });
      if (isFree) {
        open.grants.add(vacancy.slots);
        return false;
      }
      if (!canUndo(context, vacancy)) return true;
      undone.push(...vacancy.undo!);
      return false;
    });
    return undone;
  }

  // Views.

  /** Issues changes as one view, if there are any. */
  #issue(
    context: HolderContext,
    open: OpenTerm,
    changes: SlotChange[],
    membership: Membership | null,
    out: Effect[],
  ): void {
    if (changes.length === 0 && membership === null) return;
    const { replica, servers } = context;
    const old = replica.view.membership;
    const change: ViewChange = {
      from: replica.view.position,
      to: this.#nextPosition(context),
      changes,
    };
    if (membership !== null) change.membership = membership;
    replica.change(change);
    const lost = servers.lost();
    const message: Message = { kind: "view.changed", change, lost };
    for (const member of receivers(context, old)) {
      out.push(sendTo(member, message));
    }
    out.push(noteOf("view.issued", {
      term: change.to.term,
      version: change.to.version,
      changes: changes.length,
      vacancies: open.vacancies.length,
    }));
  }

  #nextPosition({ replica }: HolderContext): Position {
    return { term: this.#term, version: replica.view.position.version + 1 };
  }

  #resend(
    context: HolderContext,
    { resentAt }: OpenTerm,
    vm: string,
    incarnation: number,
    out: Effect[],
  ): void {
    const { now, self, replica } = context;
    const { members } = replica.view.membership;
    if (vm === self.vm || !includesMember(members, vm, incarnation)) return;
    const key = memberKey(vm, incarnation);
    if (now < (resentAt.get(key) ?? -Infinity) + RESEND_INTERVAL) return;
    resentAt.set(key, now);
    const member = members.find((each) => each.vm === vm)!;
    out.push(sendTo(member, { kind: "view.sent", view: replica.view }));
  }
}

/** Members of the view in use, and those that it has just left out. */
function receivers(
  { replica, self }: HolderContext,
  old: Membership,
): Member[] {
  const { members } = replica.view.membership;
  const left = old.members.filter((member) =>
    !includesMember(members, member.vm, member.incarnation)
  );
  return [...members, ...left].filter((member) => member.vm !== self.vm);
}

/** What some slots are in the view in use. */
function currentGrants(
  { replica }: HolderContext,
  slots: readonly SlotName[],
): SlotChange[] {
  return slots.map(({ service, slot }) => ({
    service,
    slot,
    ...replica.view.services[service][slot],
  }));
}

/** Whether a move that takes too long can be taken back. */
function canUndo({ now, servers }: HolderContext, vacancy: Vacancy): boolean {
  const { undo, since } = vacancy;
  if (undo === null || now < since + MOVE_PATIENCE) return false;
  return undo.every(({ server }) =>
    server !== null && servers.find(server) !== undefined &&
    !servers.isLost(server)
  );
}

/**
 * Whether every member was heard lately. A slot that moves while one is silent
 * has no owner until that member's lease has surely run out.
 */
function hearsAll({ now, self, timing, replica, liveness }: HolderContext) {
  const since = now - 2 * timing.renewal;
  return replica.view.membership.members.every(({ vm, incarnation }) =>
    vm === self.vm || liveness.lastHeard(vm, incarnation) >= since
  );
}

function newSlots({ name, keySlots }: SiteService): SlotName[] {
  return Array.from({ length: keySlots }, (_, slot) => ({
    service: name,
    slot,
  }));
}

function vacantSlots(services: View["services"]): SlotName[] {
  return Object.entries(services).flatMap(([service, slots]) =>
    slots.flatMap(({ server }, slot) =>
      server === null ? [{ service, slot }] : []
    )
  );
}

function withoutOwners(services: View["services"]): View["services"] {
  return Object.fromEntries(
    Object.entries(services).map(([service, slots]) => [
      service,
      slots.map(({ token }) => ({ server: null, token })),
    ]),
  );
}

function reasonToVacate(
  { servers }: HolderContext,
  service: SiteService | undefined,
  server: string,
): VacancyReason | null {
  const isConfigured = service !== undefined &&
    servers.find(server)?.service === service.name;
  if (!isConfigured) return "removed";
  if (servers.isLost(server)) return "lost";
  const others = servers.eligible(service.name);
  if (servers.isLeaving(server) && others.length > 0) return "leaving";
  return null;
}

/** How long after a last send an old owner may still run it. */
function settleTime(
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
