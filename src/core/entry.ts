/**
 * The reducer of an entry process: takes every event, answers with effects.
 *
 * It reads no clock and draws no random numbers but those of its seed, so the
 * same code runs over sockets and under virtual time.
 *
 * @module
 */
import { Catalog, type Configuration } from "./catalog/index.ts";
import { Dispatcher } from "./dispatch/index.ts";
import type { EntryEffect } from "./entry_effect.ts";
import type { EntryEvent } from "./entry_event.ts";
import type { EntryOptions } from "./entry_options.ts";
import { Fleet, type FleetChange } from "./fleet/index.ts";
import {
  type Assignment,
  KeyDirectory,
  KeyLoad,
  type KeyspaceEffect,
  TermCampaign,
  type TermHolder,
} from "./keyspace/index.ts";
import {
  type Bulletin,
  expandAssignment,
  FollowerLink,
  HolderLink,
  type Knowledge,
  type PeerMessage,
  StateRequest,
} from "./peers/index.ts";
import { uniformFloat64 } from "./random.ts";

/** Pause between looks at the ranges while this VM leads, in milliseconds. */
const LEADING_INTERVAL = 50;
/** Pause between looks at anything else, in milliseconds. */
const IDLE_INTERVAL = 250;
/** The store counts as lost after this long without an answer, in
 * milliseconds: some calls of each second are missing by then. */
const STORE_LOST_AFTER = 1_500;
/** Pause between reads of a configuration that a peer has, in milliseconds. */
const CONFIGURATION_PAUSE = 400;
/** Pause between looks at a shutdown, in milliseconds. */
const SHUTDOWN_INTERVAL = 50;

/** Who holds a term, and where it is reached. */
interface HolderAddress {
  term: number;
  vm: string;
  address: string;
}

/** See the module's comment. */
export class Entry {
  readonly catalog = Catalog.create();
  readonly fleet = Fleet.create();
  readonly directory = KeyDirectory.create();
  readonly campaign: TermCampaign;
  readonly dispatcher: Dispatcher;
  readonly #loads = new Map<string, KeyLoad>();
  readonly followerLink = FollowerLink.create();
  readonly #holderLink = HolderLink.create();
  readonly #stateRequest: StateRequest;
  #announced: HolderAddress | null = null;
  #configurationFetchedAt = -Infinity;
  #published = { term: 0, version: 0 };
  #vms: number | null = null;
  #storeAnsweredAt = -Infinity;
  #isStoreLost = true;
  /** Steps towards the store that have failed since it answered. */
  readonly #failingSteps = new Set<string>();
  #isReady = false;
  #shutdownAt: number | null = null;
  #isClosed = false;
  #isStopped = false;
  #effects: EntryEffect[] = [];

  private constructor(private readonly options: EntryOptions) {
    this.campaign = TermCampaign.create(
      options.leaseTiming,
      this.fleet,
      this.#loads,
    );
    this.#stateRequest = StateRequest.create(options.seeds);
    this.dispatcher = Dispatcher.create({
      catalog: this.catalog,
      fleet: this.fleet,
      directory: this.directory,
      availabilityZone: options.availabilityZone,
      retryLimits: options.retryLimits,
      vms: () => this.vms,
      draw: uniformFloat64(options.seed),
    });
  }

  /** The core of a process that knows nothing yet. */
  static create(options: EntryOptions): Entry {
    return new Entry(options);
  }

  /** What the balancer's readiness check is told. */
  get isReady(): boolean {
    return this.#isReady;
  }

  /** Estimated number of VMs, or null. */
  get vms(): number | null {
    return this.#vms ?? this.campaign.members;
  }

  /** Time since the sending of the last call that the store answered, in
   * milliseconds. */
  storeSilence(now: number): number {
    return now - this.#storeAnsweredAt;
  }

  /** Takes one event. */
  step(event: EntryEvent): EntryEffect[] {
    this.#reduce(event);
    this.#advance(event.now);
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** When a timer has to go off if nothing else happens before. */
  nextAt(now: number): number {
    const isBusy = this.campaign.phase !== "follower";
    const pause = isBusy ? LEADING_INTERVAL : IDLE_INTERVAL;
    const stop = this.#shutdownAt === null ? Infinity : SHUTDOWN_INTERVAL;
    return Math.min(this.dispatcher.nextAt(), now + Math.min(pause, stop));
  }

  #reduce(event: EntryEvent): void {
    const { now } = event;
    switch (event.kind) {
      case "timer":
        return;
      case "configuration.read":
        return this.#applyConfiguration(event.configuration);
      case "servers.read":
        this.#noteFleet(
          event.isWhole
            ? this.fleet.replace(event.entries, now)
            : this.fleet.apply(event.entries, event.removed, now),
        );
        return;
      case "assignments.read":
        return this.#takeAssignments(event.assignments);
      case "holder.announced":
        return this.#follow(event.term, event.vm, event.address);
      case "peer.received":
        return this.#receive(event.address, event.message, now);
      case "store.answered":
        return this.#storeAnswered(event.sentAt, now);
      case "store.failed":
        return this.#storeFailed(event.step, event.cause);
      case "group.joined":
        return this.campaign.joined(event.membership, now);
      case "group.failed":
        return this.campaign.joinFailed(now);
      case "term.read":
        return this.#put(...this.campaign.read(event.records, now));
      case "term.claimed":
        this.#note("term.claimed", {
          term: event.term,
          outcome: event.outcome,
        });
        return this.#claimed(
          this.campaign.claimed(event.term, event.outcome, now),
        );
      case "assignments.written":
        return this.#put(
          ...this.campaign.written(event.term, event.outcome, now),
        );
      case "order.ended":
        this.#noteOrder(event.order, event.outcome);
        return this.#put(
          ...this.campaign.ordered(event.order, event.outcome, now),
        );
      case "request.arrived":
        this.#countKey(event.arrival.host, event.arrival.target, event);
        return this.#put(...this.dispatcher.arrive(event.arrival, now));
      case "request.left":
        return this.#put(...this.dispatcher.leave(event.exchange, now));
      case "attempt.ended":
        return this.#put(
          ...this.dispatcher.ended(event.attempt, event.outcome, now),
        );
      case "shutdown":
        return this.#startShutdown(now);
    }
  }

  #claimed(effects: KeyspaceEffect[]): void {
    this.#put(...effects);
    for (const effect of effects) {
      if (effect.kind !== "holder.announce") continue;
      this.#askFormerHolder(effect.term, effect.formerTerm);
    }
  }

  #applyConfiguration(configuration: Configuration): void {
    if (!this.catalog.apply(configuration)) return;
    this.#note("configuration.applied", {
      version: this.catalog.version,
      routes: configuration.routes.length,
    });
    this.#put({ kind: "limits.apply", limits: configuration.limits });
  }

  /** Takes the steps that time alone brings. */
  #advance(now: number): void {
    this.#noteFleet(this.fleet.expire(now));
    const silence = this.storeSilence(now);
    if (!this.#isStoreLost && silence > STORE_LOST_AFTER) {
      this.#isStoreLost = true;
      this.#note("store.lost", { silence: Math.round(silence) });
    }
    const services = this.catalog.keyedServices.map((each) => each.name);
    const phase = this.campaign.phase;
    this.#put(...this.campaign.advance(services, now, silence));
    if (this.campaign.phase !== phase) {
      this.#note("term.phase", { from: phase, to: this.campaign.phase });
    }
    this.#advanceLinks(now);
    this.#put(...this.dispatcher.advance(now));
    this.#updateReadiness();
    this.#advanceShutdown(now);
  }

  /** Notes the first failure of each step since the store answered last. */
  #storeFailed(step: string, cause: string): void {
    if (this.#failingSteps.has(step)) return;
    this.#failingSteps.add(step);
    this.#put({
      kind: "note",
      level: "warn",
      decision: "store.call_failed",
      detail: { step, cause },
    });
  }

  #storeAnswered(sentAt: number, now: number): void {
    this.#storeAnsweredAt = Math.max(this.#storeAnsweredAt, sentAt);
    if (now - sentAt > STORE_LOST_AFTER) return;
    this.#failingSteps.clear();
    if (!this.#isStoreLost) return;
    this.#isStoreLost = false;
    this.fleet.regained(now);
    this.#note("store.regained", {});
  }

  #takeAssignments(assignments: readonly Assignment[]): void {
    for (const assignment of assignments) {
      const isTaken = this.directory.apply(assignment);
      this.#note("assignment.read", {
        service: assignment.service,
        term: assignment.term,
        ranges: assignment.ranges.length,
        open: assignment.ranges.filter((each) => each.isOpen).length,
        isTaken,
      });
    }
  }

  #follow(term: number, vm: string, address: string): void {
    if (term <= (this.#announced?.term ?? -1)) return;
    this.#announced = { term, vm, address };
    this.followerLink.follow(address);
    this.#note("holder.announced", { term, vm, address });
  }

  /** Takes a message of another VM. */
  #receive(address: string, message: PeerMessage, now: number): void {
    this.#compareConfiguration(message.configuration, now);
    if (message.kind === "keys.asked") {
      return this.#takeReport(address, message, now);
    }
    if (message.kind === "term.taken") {
      return this.#yield(address, message, now);
    }
    if (message.kind === "term.yielded") {
      const { holder } = this.campaign;
      if (holder?.term === message.toTerm) {
        holder.relieve(message.exposures, now);
      }
      return;
    }
    if (message.kind === "state.wanted") return this.#tellState(address);
    if (message.kind === "state.told") return this.#takeState(message, now);
    if (address === this.followerLink.holder) this.followerLink.heard(now);
    this.#vms = message.vms;
    if (message.kind === "holder.alive") return;
    this.#takeAssignments(
      message.assignments.map((each) =>
        expandAssignment(each, message.term, message.version)
      ),
    );
  }

  /** Asks the holder before, if it lives, what it has granted: without its word
   * the worst has to be assumed of servers that do not answer. */
  #askFormerHolder(term: number, formerTerm: number): void {
    const former = this.#announced;
    if (former === null || former.term !== formerTerm) return;
    const { version } = this.directory.position;
    const message: PeerMessage = {
      kind: "term.taken",
      ...this.#knowledge({ term, version }),
      formerTerm,
    };
    this.#put({ kind: "peer.send", address: former.address, message });
  }

  #yield(
    address: string,
    { term, formerTerm }: PeerMessage & { kind: "term.taken" },
    now: number,
  ): void {
    const exposures = this.campaign.yieldTo(term, formerTerm, now);
    if (exposures === null) return;
    this.#note("term.yielded", { term: formerTerm, toTerm: term });
    const message: PeerMessage = {
      kind: "term.yielded",
      ...this.#knowledge(this.directory.position),
      toTerm: term,
      exposures: [...exposures],
    };
    this.#put({ kind: "peer.send", address, message });
  }

  /** Tells a VM that cannot reach the store what this one knows. */
  #tellState(address: string): void {
    const { configuration } = this.catalog;
    if (configuration === null) return;
    this.#put({
      kind: "peer.send",
      address,
      message: {
        kind: "state.told",
        ...this.#knowledge(this.directory.position),
        state: {
          configuration,
          servers: this.fleet.all().map((each) => each.entry),
          assignments: this.directory.assignments,
          holder: this.#announced,
        },
      },
    });
  }

  /** Takes what another VM knows, for as long as the store does not answer. */
  #takeState(
    { state }: PeerMessage & { kind: "state.told" },
    now: number,
  ): void {
    if (!this.#isStoreLost && this.catalog.isKnown) return;
    const { configuration, servers, assignments, holder } = state;
    this.#applyConfiguration(configuration);
    this.#noteFleet(this.fleet.apply(servers, [], now));
    this.#takeAssignments(assignments);
    if (holder !== null) this.#follow(holder.term, holder.vm, holder.address);
  }

  /** Reads the configuration when a peer has a newer one: the call that waits
   * for news may have lost its answer without a sign. */
  #compareConfiguration(version: number, now: number): void {
    if (version <= this.catalog.version) return;
    if (now - this.#configurationFetchedAt < CONFIGURATION_PAUSE) return;
    this.#configurationFetchedAt = now;
    this.#note("configuration.behind", {
      version: this.catalog.version,
      newest: version,
    });
    this.#put({ kind: "configuration.fetch" });
  }

  #takeReport(
    address: string,
    message: PeerMessage & { kind: "keys.asked" },
    now: number,
  ): void {
    const { holder } = this.campaign;
    if (holder === null) return;
    for (const { service, keys } of message.samples) {
      for (const key of keys) this.#load(service).record(key, now);
    }
    const bulletin = this.#bulletin(holder);
    this.#put(this.#holderLink.reported(address, message, bulletin, now));
  }

  /** Informs the others while this VM leads, else stays in touch with them. */
  #advanceLinks(now: number): void {
    this.#put(...this.#stateRequest.advance(
      now,
      this.#knowledge(this.directory.position),
      this.followerLink.holder,
      !this.catalog.isKnown,
      this.#isStoreLost,
    ));
    const { holder } = this.campaign;
    if (holder === null) {
      const known = this.#knowledge(this.directory.position);
      const isKeyed = this.catalog.keyedServices.length > 0;
      return this.#put(...this.followerLink.advance(now, known, isKeyed));
    }
    this.#vms = this.#holderLink.vms(now);
    const { term, version } = holder;
    const { term: toldTerm, version: toldVersion } = this.#published;
    if (term === toldTerm && version === toldVersion) return;
    this.#published = { term, version };
    this.#takeAssignments(holder.assignments);
    this.#put(...this.#holderLink.publish(this.#bulletin(holder), now));
  }

  #bulletin(holder: TermHolder): Bulletin {
    const knowledge = this.#knowledge(holder);
    return { knowledge, assignments: holder.assignments };
  }

  #knowledge({ term, version }: { term: number; version: number }): Knowledge {
    return { term, version, configuration: this.catalog.version };
  }

  #load(service: string): KeyLoad {
    let load = this.#loads.get(service);
    if (load === undefined) {
      load = KeyLoad.create();
      this.#loads.set(service, load);
    }
    return load;
  }

  /** Counts a request's key as a sample of what is asked for. */
  #countKey(
    host: string,
    target: string,
    { arrival, now }: EntryEvent & { kind: "request.arrived" },
  ): void {
    if (arrival.key === null) return;
    const route = this.catalog.route(host, target);
    for (const { service } of route?.destinations ?? []) {
      if (!this.catalog.service(service)?.isKeyed) continue;
      this.#load(service).record(arrival.key, now);
      this.followerLink.sample(service, arrival.key);
    }
  }

  #updateReadiness(): void {
    const isReady = this.catalog.isKnown && this.#shutdownAt === null;
    if (isReady === this.#isReady) return;
    this.#isReady = isReady;
    this.#note("readiness.changed", { isReady });
    this.#put({ kind: "readiness.set", isReady });
  }

  #startShutdown(now: number): void {
    if (this.#shutdownAt !== null) return;
    this.#shutdownAt = now;
    this.#note("shutdown.started", { pending: this.dispatcher.pending });
    this.#put({ kind: "callers.drain" }, ...this.campaign.retire());
  }

  #advanceShutdown(now: number): void {
    if (this.#shutdownAt === null || this.#isStopped) return;
    const elapsed = now - this.#shutdownAt;
    const { closeAfter, stopAfter } = this.options.shutdown;
    if (elapsed >= closeAfter && !this.#isClosed) {
      this.#isClosed = true;
      this.#put({ kind: "callers.close" });
    }
    const isIdle = this.#isClosed && this.dispatcher.pending === 0;
    if (!isIdle && elapsed < stopAfter) return;
    this.#isStopped = true;
    this.#note("shutdown.finished", { pending: this.dispatcher.pending });
    this.#put({ kind: "process.stop" });
  }

  #noteFleet(changes: readonly FleetChange[]): void {
    for (const { kind, server } of changes) {
      if (kind === "removed") {
        this.#put({ kind: "connections.close", server: server.id });
      }
      this.#note(`server.${kind}`, {
        server: server.id,
        service: server.service,
        address: server.address,
        zone: server.availabilityZone,
      });
    }
  }

  #noteOrder(order: number, outcome: { kind: string; cause?: string }): void {
    if (outcome.kind === "accepted") return;
    this.#note("order.not_accepted", {
      order,
      outcome: outcome.kind,
      cause: outcome.cause ?? null,
    });
  }

  #note(
    decision: string,
    detail: Record<string, string | number | boolean | null>,
  ): void {
    this.#put({ kind: "note", level: "info", decision, detail });
  }

  #put(...effects: EntryEffect[]): void {
    this.#effects.push(...effects);
  }
}
