/**
 * The reducer of an entry process: takes every event, answers with effects.
 *
 * It reads no clock and draws no random numbers but those of its seed, so the
 * same code runs over sockets and under virtual time.
 *
 * @module
 */
import { Beliefs } from "./beliefs.ts";
import { ColdAdmission, Dispatcher } from "./dispatch/index.ts";
import type { RequestArrival } from "./dispatch/index.ts";
import type { EntryEffect } from "./entry_effect.ts";
import type { EntryEvent } from "./entry_event.ts";
import type { EntryOptions, RegistryTiming } from "./entry_options.ts";
import {
  KeyLoads,
  type KeyspaceEffect,
  TermCampaign,
} from "./keyspace/index.ts";
import { PeerExchange, QuarantineRecord } from "./exchange/index.ts";
import { uniformFloat64 } from "./random.ts";
import { Shutdown } from "./shutdown.ts";
import { StoreHealth } from "./store_health.ts";

/** Pause between looks at the ranges while this VM leads, in milliseconds. */
const LEADING_INTERVAL = 50;
/** The same while orders are due: what was ordered is sent meanwhile. */
const ORDER_INTERVAL = 1;
/** Pause between looks at anything else, in milliseconds. */
const IDLE_INTERVAL = 250;
/** Pause between looks at a shutdown, in milliseconds. */
const SHUTDOWN_INTERVAL = 50;

/** See the module's comment. */
export class Entry {
  readonly beliefs: Beliefs;
  readonly campaign: TermCampaign;
  readonly peers: PeerExchange;
  readonly dispatcher: Dispatcher;
  readonly #loads = KeyLoads.create();
  readonly #shutdown: Shutdown;
  readonly #registryTiming: RegistryTiming;
  readonly #store = StoreHealth.create();
  readonly #quarantineRecord: QuarantineRecord;
  #isReady = false;
  #isFollowingFeeds = true;
  /** Time of the first event. */
  #startedAt = Infinity;
  #effects: EntryEffect[] = [];
  /** Orders made in the current step. */
  #orders: KeyspaceEffect[] = [];

  private constructor(options: EntryOptions) {
    const emit = (...effects: EntryEffect[]) => this.#put(...effects);
    this.beliefs = Beliefs.create(
      emit,
      ({ request: { id, fingerprint } }) =>
        this.peers.permits.permits.serverEnded(fingerprint, id),
    );
    const { catalog, fleet, directory, keyLimits } = this.beliefs;
    const { quarantine, crashes } = this.beliefs;
    this.#quarantineRecord = QuarantineRecord.create(quarantine);
    this.campaign = TermCampaign.create(
      options.leaseTiming,
      fleet,
      this.#loads,
      options.fitness,
    );
    this.peers = PeerExchange.create(
      this.beliefs,
      this.campaign,
      this.#loads,
      this.#store,
      emit,
      options.peerAddress,
      options.seeds,
      uniformFloat64(options.seed),
    );
    this.dispatcher = Dispatcher.create({
      catalog,
      fleet,
      directory,
      keyLimits,
      quarantine,
      crashes,
      permits: this.peers.permits.permits,
      tokens: this.peers.tokens.tokens,
      cold: ColdAdmission.create(
        catalog,
        () => this.vms,
        uniformFloat64(options.seed + 1),
      ),
      availabilityZone: options.availabilityZone,
      retryLimits: options.retryLimits,
      startedAt: () => this.#startedAt,
      vms: () => this.vms,
      keyRefused: () => this.peers.keyRefused(),
      rateLimitChanged: (change, now) =>
        this.peers.rateLimitChanged(change, now),
      draw: uniformFloat64(options.seed),
    });
    this.#shutdown = Shutdown.create(options.shutdown);
    this.#registryTiming = options.registryTiming;
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
    return this.peers.vms;
  }

  /** Time since the sending of the last call that the store answered, in
   * milliseconds. */
  storeSilence(now: number): number {
    return this.#store.silence(now);
  }

  /** Takes one event. */
  step(event: EntryEvent): EntryEffect[] {
    this.#startedAt = Math.min(this.#startedAt, event.now);
    this.#reduce(event);
    this.#advance(event.now, event.kind === "timer");
    // Orders come last: an order is sent only after all effects of the step have been
    // carried out, and its age may then rule out opening a connection.
    const effects = [...this.#effects, ...this.#orders];
    this.#effects = [];
    this.#orders = [];
    return effects;
  }

  /** When a timer has to go off if nothing else happens before. */
  nextAt(now: number): number {
    const pause = this.#pause;
    const stop = this.#shutdown.isStarted ? SHUTDOWN_INTERVAL : Infinity;
    return Math.min(
      this.dispatcher.nextAt(),
      this.peers.nextAt(),
      Math.max(
        this.#store.callableAt,
        this.beliefs.registry.dueAt(this.#registryAge),
      ),
      now + Math.min(pause, stop),
    );
  }

  /** Longest time without a step, in milliseconds. */
  get #pause(): number {
    const { holder, phase } = this.campaign;
    if (holder?.isBehind) return ORDER_INTERVAL;
    return phase === "follower" ? IDLE_INTERVAL : LEADING_INTERVAL;
  }

  #reduce(event: EntryEvent): void {
    const { now } = event;
    switch (event.kind) {
      case "timer":
        return;
      case "clock.jumped":
        return this.#clockJumped(event.gap, event.isCertain);
      case "configuration.read":
        return this.beliefs.configure(event.configuration);
      case "evacuations.read":
        return this.beliefs.evacuationsRead(event.read, now);
      case "servers.read":
        return this.#readServers(event);
      case "servers.failed":
        return this.beliefs.registry.failed(event.isExpired, now);
      case "assignments.read":
        this.peers.recordRead(event.assignments, now);
        return this.beliefs.assign(event.assignments);
      case "quarantine.read":
        return this.#quarantineRecord.read(event.records, now);
      case "quarantine.written":
        return this.#quarantineRecord.written(event.isDone, now);
      case "holder.read":
        return this.campaign.holderRead();
      case "holder.announced":
        return this.peers.follow(event.holder, now);
      case "peer.received": {
        const { address, message } = event;
        return this.peers.receive(address, message, now);
      }
      case "store.answered":
        return this.#storeAnswered(event.sentAt, now);
      case "store.failed":
        return this.#storeFailed(event.step, event.cause, now);
      case "group.joined":
        return this.campaign.joined(event.membership, now);
      case "group.failed":
        return this.campaign.joinFailed(now);
      case "term.read":
        return this.#put(...this.campaign.read(event.records, now));
      case "term.claimed": {
        const { term, outcome } = event;
        this.beliefs.note("term.claimed", { term, outcome });
        return this.#claimed(this.campaign.claimed(term, outcome, now));
      }
      case "assignments.written": {
        const { term, outcome } = event;
        return this.#put(...this.campaign.written(term, outcome, now));
      }
      case "order.ended":
        return this.#put(
          ...this.campaign.ordered(event.order, event.outcome, now),
        );
      case "request.arrived":
        if (this.#shutdown.isTurningAway(now)) {
          return this.#put(...this.dispatcher.turnAway(event.arrival));
        }
        this.#countKey(event.arrival, now);
        return this.#put(...this.dispatcher.arrive(event.arrival, now));
      case "request.late": {
        const { id: request, timeout, age } = event;
        const detail = { request, timeout, age };
        return this.#put({
          kind: "note",
          level: "warn",
          decision: "request.read_late",
          detail,
        });
      }
      case "request.left":
        return this.#put(...this.dispatcher.leave(event.exchange, now));
      case "attempt.ended":
        return this.#put(
          ...this.dispatcher.ended(event.attempt, event.outcome, now),
        );
      case "server.checked": {
        const { crashes, fleet } = this.beliefs;
        if (!event.isRefused) return crashes.found(event.server);
        return crashes.ended(fleet.get(event.server), now);
      }
      case "callers.closed":
        return this.#shutdown.callersClosed();
      case "shutdown":
        return this.#startShutdown(event.lateness, now);
    }
  }

  /** Takes the steps that time alone brings. */
  #advance(now: number, isTimerEvent: boolean): void {
    const { catalog, fleet } = this.beliefs;
    this.beliefs.changeServers(fleet.expire(now), now);
    if (this.#store.advance(now)) {
      const silence = Math.round(this.storeSilence(now));
      this.beliefs.note("store.lost", { silence });
    }
    this.#advanceRegistry(now);
    this.#advanceCampaign(
      catalog.keyedServices.map((each) => each.name),
      now,
      isTimerEvent,
    );
    this.#updateFeeds(now);
    this.peers.advance(now);
    this.#put(...this.dispatcher.advance(now));
    if (this.#shutdown.isEnding(now)) this.#giveUpRequests(now);
    this.#updateReadiness();
    this.#put(...this.#shutdown.advance(this.dispatcher.pending, now));
  }

  /** Reads the registry when what is known of it is too old. */
  #advanceRegistry(now: number): void {
    if (this.#store.isFailing(now)) return;
    const fetch = this.beliefs.registry.fetch(now, this.#registryAge);
    if (fetch !== null) this.#put(fetch);
  }

  /** How old knowledge of the registry may be here, in milliseconds. */
  get #registryAge(): number {
    const { interval, maximumAge } = this.#registryTiming;
    return this.campaign.holder === null ? maximumAge : interval;
  }

  #advanceCampaign(
    services: readonly string[],
    now: number,
    isTimerEvent: boolean,
  ): void {
    const from = this.campaign.phase;
    const silence = this.storeSilence(now);
    const isTold = this.peers.isTold(now);
    const effects = this.campaign.advance(
      services,
      now,
      silence,
      isTold,
      isTimerEvent,
    );
    for (const each of effects) {
      if (isOrder(each)) this.#orders.push(each);
      else this.#put(each);
    }
    if (this.campaign.holder !== null && !this.#store.isFailing(now)) {
      const write = this.#quarantineRecord.advance(now);
      if (write !== null) this.#put(write);
    }
    const to = this.campaign.phase;
    if (from !== to) this.beliefs.note("term.phase", { from, to });
  }

  /** Leaves the store's feeds to the term holder while this VM is told. Of the
   * calls of 195 VMs on a quiet day, most of which observe, waiting reads and their
   * news are about half (worked out). */
  #updateFeeds(now: number): void {
    const isFollowing = !this.peers.isTold(now);
    if (isFollowing === this.#isFollowingFeeds) return;
    this.#isFollowingFeeds = isFollowing;
    this.beliefs.note("feeds.turned", { isFollowing });
    this.#put({ kind: "feeds.follow", isOn: isFollowing });
  }

  #readServers(event: EntryEvent & { kind: "servers.read" }): void {
    const { fleet, registry } = this.beliefs;
    const { read, sentAt, now } = event;
    const { entries, removed, unreadable, isWhole } = read;
    if (!registry.read(read, sentAt)) return;
    this.beliefs.changeServers(
      isWhole
        ? fleet.replace(entries, now, unreadable)
        : fleet.apply(entries, removed, now, unreadable),
      now,
    );
    fleet.confirm((id) => registry.isListed(id), now);
  }

  /** This VM was suspended: what it was told meanwhile may be lost. Where that is not
   * certain, others' holds may not have run out by as much as the clock says, so it
   * gives up all that it would decide by them. */
  #clockJumped(gap: number, isCertain: boolean): void {
    const detail = { gap: Math.round(gap), isCertain };
    this.beliefs.note("clock.jumped", detail);
    this.peers.followerLink.outdated();
    if (isCertain) return;
    this.campaign.doubtTime();
    this.dispatcher.doubtTime(gap);
  }

  #claimed(effects: KeyspaceEffect[]): void {
    this.#put(...effects);
    for (const effect of effects) {
      if (effect.kind !== "holder.announce") continue;
      this.peers.askFormerHolder(effect.term, effect.formerTerm);
    }
  }

  #storeAnswered(sentAt: number, now: number): void {
    if (!this.#store.answered(sentAt, now)) return;
    this.beliefs.storeRegained(now);
  }

  /** Notes the first failure of each step since the store answered last. */
  #storeFailed(step: string, cause: string, now: number): void {
    if (!this.#store.failed(step, now)) return;
    this.#put({
      kind: "note",
      level: "warn",
      decision: "store.call_failed",
      detail: { step, cause },
    });
  }

  /** Counts a request's key as a sample of what is asked for. */
  #countKey({ host, target, key }: RequestArrival, now: number): void {
    if (key === null) return;
    const { catalog } = this.beliefs;
    for (const { service } of catalog.route(host, target)?.destinations ?? []) {
      if (!catalog.service(service)?.isKeyed) continue;
      this.#loads.of(service).record(key, now);
      this.peers.keyAsked(service, key);
    }
  }

  #updateReadiness(): void {
    const isKnown = this.beliefs.catalog.isKnown;
    const isReady = isKnown && !this.#shutdown.isStarted;
    if (isReady === this.#isReady) return;
    this.#isReady = isReady;
    this.beliefs.note("readiness.changed", { isReady });
    this.#put({ kind: "readiness.set", isReady });
  }

  /** The time of a shutdown is all but over: whatever is left is answered, so that
   * nothing is cut that could still be sent. */
  #giveUpRequests(now: number): void {
    const reason = "this VM is stopping";
    this.#put(...this.dispatcher.stopWaiting(reason, now));
    this.#put(...this.dispatcher.breakOff(reason, now));
  }

  #startShutdown(lateness: number, now: number): void {
    if (!this.#shutdown.start(now - lateness)) return;
    const { pending } = this.dispatcher;
    const detail = { pending, lateness: Math.round(lateness) };
    this.beliefs.note("shutdown.started", detail);
    this.#put({ kind: "callers.drain" }, ...this.campaign.retire());
  }

  #put(...effects: EntryEffect[]): void {
    this.#effects.push(...effects);
  }
}

function isOrder({ kind }: KeyspaceEffect): boolean {
  return kind === "order.grant" || kind === "order.release";
}
