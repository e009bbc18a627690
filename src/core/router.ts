/**
 * The core of an entry process: one reducer over all events, with effects as
 * data. It does no I/O and reads neither a clock nor a random source, so it runs
 * under any driver, virtual time included.
 *
 * The state is changed in place: a copy for each of thousands of requests a
 * second would cost more than routing them.
 *
 * @example
 * ```ts
 * const router = Router.create({ cluster, site, vm, ... });
 * for (const effect of router.step({ kind: "clock.ticked", now: 25 })) run(effect);
 * ```
 *
 * @module
 */
import {
  EMPTY_SITE,
  type SiteConfiguration,
  siteConfiguration,
} from "./configuration/index.ts";
import type { Effect } from "./effect.ts";
import type { Event, LogRead, PeerMessage, ProbeResult } from "./event.ts";
import {
  type Ledger,
  LedgerReader,
  type SiteLedger,
  siteLedger,
} from "./ledger/index.ts";
import { includesMember, Liveness, type Member } from "./membership/index.ts";
import type { Message } from "./message.ts";
import {
  type HolderContext,
  TermClaim,
  TermHolder,
  ViewLease,
  ViewReplica,
} from "./ownership/index.ts";
import { comparePositions, ORIGIN, type Position } from "./position.ts";
import { uniformFloat64 } from "./random.ts";
import type { RouterOptions, RouterStatus } from "./router_options.ts";
import {
  type ClaimContext,
  type DispatchContext,
  Dispatcher,
} from "./requests/index.ts";
import {
  probe,
  sendProbes,
  ServerWatch,
  type WatchedServer,
} from "./routing/index.ts";

/** Time between two appends of the same start, in milliseconds. */
const START_RETRY = 1_000;
/** Time between two reports of the same server to the term holder. */
const REPORT_INTERVAL = 100;
/** Time between two questions to the seeds. */
const SEED_INTERVAL = 500;
/** Time for which it is kept when a peer was last heard, in milliseconds. */
const LIVENESS_KEPT = 60_000;
/** Records after which the holder writes a checkpoint. */
const CHECKPOINT_RECORDS = 200;
/** Time between two checkpoints at the least, in milliseconds. */
const CHECKPOINT_PAUSE = 1_000;

/** See the module's comment. */
export class Router {
  readonly #reader = LedgerReader.create();
  readonly #replica = ViewReplica.create();
  readonly #holder = TermHolder.create();
  readonly #claim = TermClaim.create();
  readonly #liveness = Liveness.create();
  readonly #servers = ServerWatch.create();
  readonly #dispatcher: Dispatcher;
  readonly #lease: ViewLease;
  readonly #dispatchContext: DispatchContext;
  #configuration: SiteConfiguration = EMPTY_SITE;
  #now = 0;
  #incarnation = 0;
  #starts = 0;
  #startedAt = -Infinity;
  /** Since when another process of the same VM is asked for. */
  #contestedSince: number | null = null;
  #renewedAt = -Infinity;
  #seededAt = -Infinity;
  #fetchedAt = -Infinity;
  #reportedDrain: Position = ORIGIN;
  /** The newest view whose losses the dispatcher has followed. */
  #followed: Position = ORIGIN;
  /** Servers that the term holder has named as lost. */
  #lost: readonly string[] = [];
  /** Offset of the membership whose witnesses confirm the lease. */
  #leasedMembership = 0;
  #checkpointNext = 1;
  #checkpointAt = 0;
  #prunedAt = 0;
  /** Whether the last read of the log succeeded; null before the first. */
  #logReachable: boolean | null = null;
  #stopping = false;
  #vmCount = 0;
  #out: Effect[] = [];

  private constructor(private readonly options: RouterOptions) {
    this.#dispatcher = Dispatcher.create(options.balancer);
    this.#lease = ViewLease.create(options.timing.lease);
    this.#dispatchContext = {
      now: 0,
      availabilityZone: options.availabilityZone,
      configuration: this.#configuration,
      servers: this.#servers,
      view: this.#replica.view,
      leaseUntil: this.#lease.until,
      timing: options.timing,
      claims: () => this.#claiming(),
      draw: uniformFloat64(options.seed),
      suspect: (server, cause) => this.#suspect(server, cause),
    };
  }

  /** A process that has just started and knows nothing. */
  static create(options: RouterOptions): Router {
    return new Router(options);
  }

  /** Offset of the next log record that this process wants to read. */
  get logPosition(): number {
    return this.#reader.position;
  }

  /** The configuration in force here. */
  get configuration(): SiteConfiguration {
    return this.#configuration;
  }

  /** The folded state of the log. */
  get ledger(): Ledger {
    return this.#reader.ledger;
  }

  /** Takes in one event and returns what is to be done. */
  step(event: Event): Effect[] {
    this.#out = [];
    this.#now = Math.max(this.#now, event.now);
    this.#reduce(event);
    this.#followView();
    return this.#out;
  }

  /** What this process sees now. */
  status(now: number): RouterStatus {
    return {
      vm: this.options.vm,
      incarnation: this.#incarnation,
      revision: this.#configuration.revision,
      ledgerNext: this.#reader.ledger.next,
      term: this.#siteLedger().term,
      holds: this.#holder.isSteady,
      member: this.#isMember(),
      leaseRemaining: Math.max(0, this.#lease.until - now),
      view: this.#replica.view,
      logReachable: this.#logReachable === true,
      inFlight: this.#dispatcher.size,
      servers: [...this.#servers.all()],
    };
  }

  #reduce(event: Event): void {
    switch (event.kind) {
      case "request.arrived":
        return this.#dispatcher.arrive(this.#dispatching(), event, this.#out);
      case "attempt.answered":
        return this.#dispatcher.answer(this.#dispatching(), event, this.#out);
      case "attempt.completed":
        this.#dispatcher.complete(
          this.#dispatching(),
          event.attempt,
          this.#out,
        );
        return this.#afterRequest();
      case "attempt.failed":
        this.#dispatcher.fail(this.#dispatching(), event, this.#out);
        return this.#afterRequest();
      case "request.cancelled":
        this.#dispatcher.cancel(this.#dispatching(), event.exchange, this.#out);
        return this.#afterRequest();
      case "clock.ticked":
        return this.#tick();
      case "log.read":
        return this.#readLog(event);
      case "log.read_failed":
        return this.#logFailed(event.detail);
      case "log.append_ended":
        return;
      case "vms.listed":
        return this.#servers.list(event.vms);
      case "peer.received":
        return this.#receive(event);
      case "probe.ended":
        return this.#probed(event);
      case "grant.ended":
        return this.#granted(event);
      case "shutdown.requested":
        this.#stopping = true;
        return this.#afterRequest();
    }
  }

  #tick(): void {
    this.#register();
    this.#renew();
    this.#holder.tick(this.#holding(), this.#out);
    this.#claimTerm();
    sendProbes({
      now: this.#now,
      vm: this.options.vm,
      membership: this.#replica.view.membership,
      timing: this.options.timing,
      configuration: this.#configuration,
      servers: this.#servers,
    }, this.#out);
    this.#dispatcher.tick(this.#dispatching(), this.#out);
    this.#reportDrain();
    this.#writeCheckpoint();
    this.#forgetSilent();
    this.#afterRequest();
  }

  #forgetSilent(): void {
    if (this.#now < this.#prunedAt + LIVENESS_KEPT) return;
    this.#prunedAt = this.#now;
    this.#liveness.prune(this.#now - LIVENESS_KEPT);
  }

  // The log.

  #readLog(event: LogRead): void {
    if (this.#logReachable !== true) this.#note("info", "log.reachable", {});
    this.#logReachable = true;
    const outcomes = this.#reader.read(event.entries, event.first, event.next);
    for (const { offset, kind, verdict } of outcomes) {
      if (kind === "checkpoint.written") this.#checkpointNext = offset + 1;
      const level = kind === "unreadable" ? "warn" : "info";
      this.#note(level, "log.folded", {
        offset,
        record: kind,
        accepted: verdict.accepted,
        why: verdict.reason,
      });
    }
    this.#followLedger();
  }

  #logFailed(detail: string): void {
    if (this.#logReachable !== false) {
      this.#note("warn", "log.unreachable", { why: detail });
    }
    this.#logReachable = false;
    if (this.#reader.complete || this.#now < this.#seededAt + SEED_INTERVAL) {
      return;
    }
    this.#seededAt = this.#now;
    for (const address of this.options.seeds) {
      this.#send("", address, { kind: "ledger.fetched" });
    }
  }

  #followLedger(): void {
    if (!this.#reader.complete) return;
    this.#followConfiguration();
    this.#followStart();
    this.#holder.follow(this.#holding(), this.#out);
  }

  #followConfiguration(): void {
    const { accepted } = this.#reader.ledger;
    const vms = Math.max(1, this.#siteLedger().membership.members.length);
    const isNew = accepted.revision > this.#configuration.revision;
    if (isNew && accepted.configuration !== null) {
      const { configuration, revision } = accepted;
      const site = this.options.site;
      this.#configuration = siteConfiguration(configuration, site, revision);
      this.#out.push({
        kind: "configuration.apply",
        configuration: this.#configuration,
      });
      this.#note("info", "configuration.applied", { revision });
    }
    if (!isNew && vms === this.#vmCount) return;
    this.#vmCount = vms;
    this.#servers.configure(this.#configuration, vms);
  }

  #followStart(): void {
    const { starts } = this.#siteLedger();
    const start = starts.find((each) => each.vm === this.options.vm);
    if (start?.nonce === this.#nonce()) {
      if (this.#incarnation !== start.incarnation) this.#lease.release();
      this.#incarnation = start.incarnation;
      return;
    }
    if (this.#incarnation === 0) return;
    this.#incarnation = 0;
    this.#lease.release();
    if (start !== undefined) {
      this.#fail(`another process at ${start.peerAddress} runs as this VM`);
      return;
    }
    // The membership was changed without this process, which was not heard: it
    // takes part again as a new member.
    this.#starts += 1;
    this.#startedAt = -Infinity;
    this.#note("warn", "vm.excluded", { vm: this.options.vm });
  }

  /** Announces this start of the process in the log. */
  #register(): void {
    if (this.#incarnation !== 0 || !this.#reader.complete) return;
    if (this.#stopping) return;
    if (this.#now < this.#startedAt + START_RETRY) return;
    if (this.#mayBeDuplicate()) return;
    this.#startedAt = this.#now;
    this.#out.push({
      kind: "log.append",
      record: {
        kind: "vm.started",
        site: this.options.site,
        vm: this.options.vm,
        availabilityZone: this.options.availabilityZone,
        peerAddress: this.options.peerAddress,
        startedAt: this.options.startedAt,
        nonce: this.#nonce(),
      },
    });
  }

  /**
   * Whether the log names a process of the same VM at another address that may
   * still run. It is asked, and taken for gone when it does not answer in time.
   */
  #mayBeDuplicate(): boolean {
    const { vm, peerAddress, timing } = this.options;
    const start = this.#siteLedger().starts.find((each) => each.vm === vm);
    if (start === undefined || start.peerAddress === peerAddress) return false;
    this.#contestedSince ??= this.#now;
    if (this.#now >= this.#contestedSince + timing.memberTimeout) return false;
    if (this.#now < this.#seededAt + SEED_INTERVAL) return true;
    this.#seededAt = this.#now;
    this.#send(vm, start.peerAddress, { kind: "ledger.fetched" });
    return true;
  }

  /** Another process that runs as this VM has answered. */
  #fail(reason: string): void {
    this.#stopping = true;
    this.#out.push({
      kind: "process.fail",
      reason: `expected a VM id of its own for '${this.options.vm}': ${reason}`,
    });
  }

  #writeCheckpoint(): void {
    const { ledger } = this.#reader;
    if (!this.#holder.isSteady) return;
    const isLong = ledger.next - this.#checkpointNext >= CHECKPOINT_RECORDS;
    const age = this.#now - this.#checkpointAt;
    const interval = this.options.checkpointInterval;
    if (age < (isLong ? CHECKPOINT_PAUSE : interval)) return;
    this.#checkpointAt = this.#now;
    this.#out.push({
      kind: "log.append",
      record: { kind: "checkpoint.written", ledger },
    });
  }

  #claimTerm(): void {
    if (this.#incarnation === 0 || this.#stopping) return;
    const record = this.#claim.decide({
      now: this.#now,
      site: this.options.site,
      self: this.#self(),
      ledger: this.#siteLedger(),
      liveness: this.#liveness,
      timing: this.options.timing,
    });
    if (record !== null) this.#out.push({ kind: "log.append", record });
  }

  // Leases and views.

  #renew(): void {
    const { timing } = this.options;
    if (this.#incarnation === 0) return;
    if (this.#now < this.#renewedAt + timing.renewal) return;
    this.#renewedAt = this.#now;
    const { members, witnesses } = this.#replica.view.membership;
    const sequence = this.#lease.ask(this.#now);
    const adopted = this.#replica.view.position;
    const message: Message = {
      kind: "renewal.asked",
      incarnation: this.#incarnation,
      sequence,
      adopted,
      drained: this.#drained(),
    };
    const term = this.#siteLedger().term;
    const isWitness = includesMember(
      witnesses,
      this.options.vm,
      this.#incarnation,
    );
    if (isWitness) this.#confirm(this.options.vm, this.#incarnation, sequence);
    const holder = this.#siteLedger().starts.find((each) =>
      each.vm === term.vm
    );
    const asked = new Map<string, string>();
    for (const witness of witnesses) asked.set(witness.vm, witness.peerAddress);
    if (holder !== undefined) asked.set(holder.vm, holder.peerAddress);
    if (members.length === 0) {
      for (const start of this.#siteLedger().starts) {
        asked.set(start.vm, start.peerAddress);
      }
    }
    asked.delete(this.options.vm);
    for (const [vm, address] of asked) this.#send(vm, address, message);
    this.#holder.acknowledge(
      this.#holding(),
      this.#self(),
      { adopted, drained: this.#drained() },
      this.#out,
    );
  }

  #confirm(vm: string, incarnation: number, sequence: number): void {
    const { witnesses } = this.#replica.view.membership;
    if (!includesMember(witnesses, vm, incarnation)) return;
    if (!this.#isMember()) return;
    const floor = this.#replica.floor;
    if (comparePositions(floor, this.#replica.view.position) > 0) return;
    this.#lease.confirm(sequence, vm, witnesses.length);
  }

  /** Lets go of what an adopted view, from others or of its own, has taken. */
  #followView(): void {
    const { view } = this.#replica;
    if (comparePositions(view.position, this.#followed) === 0) return;
    this.#followed = view.position;
    const { offset } = view.membership;
    if (offset !== this.#leasedMembership) this.#lease.restart();
    this.#leasedMembership = offset;
    if (!this.#isMember()) this.#lease.release();
    const lost = this.#holder.isSteady ? this.#servers.lost() : this.#lost;
    this.#dispatcher.adopt(this.#dispatching(), lost, this.#out);
    this.#reportAdoption();
    // The holder may have issued the next view in answer.
    this.#followView();
  }

  #reportAdoption(): void {
    const holder = this.#holderStart();
    if (holder === undefined || this.#incarnation === 0) return;
    const adopted = this.#replica.view.position;
    const drained = this.#drained();
    this.#reportedDrain = drained;
    if (holder.vm === this.options.vm) {
      this.#holder.acknowledge(
        this.#holding(),
        this.#self(),
        { adopted, drained },
        this.#out,
      );
      return;
    }
    this.#send(holder.vm, holder.peerAddress, {
      kind: "view.adopted",
      incarnation: this.#incarnation,
      adopted,
      drained,
    });
  }

  #reportDrain(): void {
    if (comparePositions(this.#drained(), this.#reportedDrain) === 0) return;
    this.#reportAdoption();
  }

  #drained(): Position {
    return this.#dispatcher.drained(this.#now, this.#followed);
  }

  // Peers.

  #receive({ from, address, message }: PeerMessage): void {
    const { vm, peerAddress } = this.options;
    if (from === vm && address !== peerAddress && this.#incarnation === 0) {
      return this.#fail(`another process at ${address} runs as this VM`);
    }
    switch (message.kind) {
      case "renewal.asked":
        return this.#renewalAsked(from, address, message);
      case "renewal.answered":
        return this.#renewalAnswered(from, address, message);
      case "term.opened":
        return this.#termOpened(from, address, message.term);
      case "term.promised":
        this.#liveness.hear(from, message.incarnation, this.#now);
        return this.#holder.promised(
          this.#holding(),
          { vm: from, incarnation: message.incarnation },
          message.term,
          message.adopted,
          this.#out,
        );
      case "view.changed": {
        const adoption = this.#replica.change(message.change);
        if (adoption === "gap") this.#fetchView(from, address);
        this.#lost = message.lost;
        return;
      }
      case "view.adopted":
        this.#liveness.hear(from, message.incarnation, this.#now);
        return this.#holder.acknowledge(
          this.#holding(),
          { vm: from, incarnation: message.incarnation },
          message,
          this.#out,
        );
      case "view.fetched":
        return this.#send(from, address, {
          kind: "view.sent",
          view: this.#replica.view,
        });
      case "view.sent":
        this.#holder.received(this.#holding(), message.view, this.#out);
        this.#replica.adopt(message.view);
        return;
      case "server.suspected":
        return this.#confirmSuspicion(message.server, message.cause);
      case "claim.asked":
        return this.#send(from, address, {
          kind: "claim.answered",
          exchange: message.exchange,
          isNew: this.#dispatcher.claimAsked(
            message.id,
            message.owner,
            this.#now,
          ),
        });
      case "claim.answered":
        return this.#dispatcher.claimAnswered(
          this.#dispatching(),
          message.exchange,
          from,
          message.isNew,
          this.#out,
        );
      case "claim.released":
        return this.#dispatcher.claimReleased(message.id, message.owner);
      case "ledger.fetched":
        if (!this.#reader.complete) return;
        return this.#send(from, address, {
          kind: "ledger.sent",
          ledger: this.#reader.ledger,
        });
      case "ledger.sent":
        if (this.#reader.complete) return;
        if (this.#reader.adopt(message.ledger)) this.#followLedger();
        return;
    }
  }

  #renewalAsked(
    from: string,
    address: string,
    message: Extract<Message, { kind: "renewal.asked" }>,
  ): void {
    const { incarnation, sequence, adopted, drained } = message;
    this.#liveness.hear(from, incarnation, this.#now);
    this.#send(from, address, {
      kind: "renewal.answered",
      incarnation: this.#incarnation,
      sequence,
      floor: this.#replica.floor,
      adopted: this.#replica.view.position,
      member: this.#replica.isMember(from, incarnation),
    });
    this.#holder.acknowledge(
      this.#holding(),
      { vm: from, incarnation },
      { adopted, drained },
      this.#out,
    );
  }

  #renewalAnswered(
    from: string,
    address: string,
    message: Extract<Message, { kind: "renewal.answered" }>,
  ): void {
    this.#liveness.hear(from, message.incarnation, this.#now);
    const own = this.#replica.view.position;
    if (comparePositions(message.adopted, own) > 0) {
      this.#fetchView(from, address);
    }
    if (!message.member || comparePositions(message.floor, own) > 0) return;
    this.#confirm(from, message.incarnation, message.sequence);
  }

  #termOpened(from: string, address: string, term: number): void {
    const adopted = this.#replica.view.position;
    if (this.#incarnation === 0 || !this.#replica.promise(term)) return;
    this.#send(from, address, {
      kind: "term.promised",
      incarnation: this.#incarnation,
      term,
      adopted,
    });
  }

  #fetchView(from: string, address: string): void {
    if (this.#now < this.#fetchedAt + this.options.timing.renewal / 2) return;
    this.#fetchedAt = this.#now;
    this.#send(from, address, { kind: "view.fetched" });
  }

  // Backend servers.

  #suspect(server: WatchedServer, cause: string): void {
    if (this.#now < server.reportedAt + REPORT_INTERVAL) return;
    server.reportedAt = this.#now;
    if (this.#holder.isSteady) {
      this.#confirmSuspicion(server.id, cause);
      return;
    }
    const holder = this.#holderStart();
    if (holder === undefined) return;
    this.#send(holder.vm, holder.peerAddress, {
      kind: "server.suspected",
      server: server.id,
      cause,
    });
  }

  #confirmSuspicion(id: string, cause: string): void {
    const server = this.#servers.find(id);
    if (server === undefined || !this.#holder.isSteady) return;
    if (cause === "fenced") {
      this.#holder.regrant(this.#holding(), id, this.#out);
      return;
    }
    if (server.confirming || server.lost) return;
    server.confirming = true;
    this.#out.push(probe(server, this.#now, this.options.timing));
  }

  #probed(event: ProbeResult): void {
    const server = this.#servers.find(event.server);
    if (server === undefined) return;
    const wasConfirming = server.confirming;
    server.confirming = false;
    if (event.healthy) {
      this.#servers.onHealthy(server);
      return;
    }
    this.#servers.onFailure(server);
    if (wasConfirming && this.#holder.isSteady) {
      this.#servers.onLost(server);
      this.#note("warn", "server.lost", {
        server: server.id,
        why: event.cause,
      });
      this.#holder.tick(this.#holding(), this.#out);
      return;
    }
    if (!server.lost) this.#suspect(server, event.cause);
  }

  #granted(event: Extract<Event, { kind: "grant.ended" }>): void {
    this.#holder.granted(this.#holding(), event, this.#out);
    if (event.accepted) return;
    const server = this.#servers.find(event.server);
    if (server !== undefined) this.#suspect(server, event.cause);
  }

  // Shared by all.

  #afterRequest(): void {
    if (!this.#stopping || this.#dispatcher.size > 0) return;
    this.#out.push({ kind: "process.stop" });
  }

  #holding(): HolderContext {
    return {
      now: this.#now,
      site: this.options.site,
      self: this.#self(),
      timing: this.options.timing,
      ledger: this.#siteLedger(),
      configuration: this.#configuration,
      replica: this.#replica,
      liveness: this.#liveness,
      servers: this.#servers,
    };
  }

  /** One object for all events: a new one for each costs more than it says. */
  #dispatching(): DispatchContext {
    const context = this.#dispatchContext;
    context.now = this.#now;
    context.configuration = this.#configuration;
    context.view = this.#replica.view;
    context.leaseUntil = this.#lease.until;
    return context;
  }

  #claiming(): ClaimContext {
    const { clockOrigin, hash } = this.options;
    return {
      now: this.#now,
      wallTime: clockOrigin + this.#now,
      self: this.#self(),
      members: this.#replica.view.membership.members,
      hash,
      send: (to, message) => this.#send(to.vm, to.peerAddress, message),
    };
  }

  #self(): Member {
    return {
      vm: this.options.vm,
      incarnation: this.#incarnation,
      availabilityZone: this.options.availabilityZone,
      peerAddress: this.options.peerAddress,
      startedAt: this.options.startedAt,
    };
  }

  #siteLedger(): SiteLedger {
    return siteLedger(this.#reader.ledger, this.options.site);
  }

  #holderStart() {
    const { term, starts } = this.#siteLedger();
    return starts.find((start) =>
      start.vm === term.vm && start.incarnation === term.incarnation
    );
  }

  #isMember(): boolean {
    return this.#replica.isMember(this.options.vm, this.#incarnation);
  }

  #nonce(): string {
    return `${this.options.nonce}.${this.#starts}`;
  }

  #send(to: string, address: string, message: Message): void {
    this.#out.push({ kind: "peer.send", to, address, message });
  }

  #note(
    level: "info" | "warn" | "error",
    decision: string,
    detail: Record<string, string | number | boolean | null>,
  ): void {
    this.#out.push({ kind: "note", level, decision, detail });
  }
}
