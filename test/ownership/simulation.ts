/**
 * Simulates entry processes, the store and keyed servers under virtual time,
 * with faults. Checks at each grant that no other server process holds a lease
 * on the keys, and that none has ever held them with the same or a higher
 * token.
 *
 * @module
 */
import {
  type ClockJump,
  ElapsedClock,
} from "../../src/runtime/elapsed_clock.ts";
import { Entry } from "../../src/core/entry.ts";
import type { Features } from "../../src/core/features.ts";
import type { EntryEffect } from "../../src/core/entry_effect.ts";
import type { UntimedEvent } from "../../src/core/entry_event.ts";
import type {
  BackendServer,
  ServerStatement,
} from "../../src/core/fleet/index.ts";
import {
  type ElectionGroup,
  type GrantOrder,
  type LeaseTiming,
  leaseTimingSchema,
  type OrderOutcome,
  type ReleaseOrder,
} from "../../src/core/keyspace/index.ts";
import type { LogLine, RetryLimits } from "../../src/core/dispatch/index.ts";
import type {
  CrashRecord,
  ProbeResult,
} from "../../src/core/quarantine/index.ts";
import type { HolderAddress, PeerMessage } from "../../src/core/peers/index.ts";
import { createUniformGenerator } from "../../src/core/random.ts";
import type { RegistryRead } from "../../src/core/registry/index.ts";
import {
  type KeyGrant,
  type KeyLease,
  ModelServer,
  overlap,
  without,
} from "./model_server.ts";
import {
  type LoadOptions,
  RequestLoad,
  type ServerLinks,
} from "./request_load.ts";
import { ModelRelays, type RelayedConnection } from "./model_relays.ts";
import { ModelStore, type ModelStoreCopy } from "./model_store.ts";
import { Timeline } from "./timeline.ts";
import { StoreEra } from "../../src/runtime/store_era.ts";

const SERVICE = "stock";
/**
 * Time without a join after which the store removes a group member, in
 * milliseconds.
 */
const TIME_TO_LIVE = 1_300;
/** One-way delay between any two processes, in milliseconds. */
const ONE_WAY_DELAY = 2;
/** Timeout of a call to the store, in milliseconds. */
const STORE_TIMEOUT = 700;
/**
 * Time from a release order until a server has finished its work on the keys,
 * in milliseconds.
 */
const RELEASE_TIME = 80;
/** Timeout of a probe of a server's address, in milliseconds. */
const PROBE_TIMEOUT = 200;
/** Result of a probe through another VM, by how its connection ended. */
const PROBE_RESULTS = {
  opened: "connected",
  fault: "unknown",
  refused: "refused",
  silent: "silent",
} as const;
/** Timeout of a release through another VM, in milliseconds. */
const RELEASE_TIMEOUT = 3_000;
/** Timeout of an order, in milliseconds. */
const ORDER_TIMEOUT = 500;
/** Maximum age at which an order may open a connection, in milliseconds. */
const MAXIMUM_CONNECT_AGE = 30;
/** Maximum time that an order waits for its connection, in milliseconds. */
const CONNECT_TIMEOUT = 400;
/**
 * Upper bound of the time between the end of a server process and the start of
 * the next one, in milliseconds.
 */
const MAXIMUM_DOWNTIME = 600;
/**
 * Maximum time after a suspension until peers retransmit what was lost during
 * it, in milliseconds. Their kernels double the retransmission timeout after
 * each attempt.
 */
const MAXIMUM_RESEND_DELAY = 1_500;
/**
 * Rate, relative to real time, of an uptime clock that belongs to another
 * machine.
 */
const FOREIGN_RATE = 0.7;
/** Time after which a lost server is replaced, in milliseconds. */
const RETURN_TIME = 2_500;
/**
 * Time after which the registry removes the entry of a server that no longer
 * renews it, in milliseconds.
 */
const ENTRY_LIFETIME = 2_600;
/** Time between two writes of a server's entry, in milliseconds. */
const HEARTBEAT_INTERVAL = 870;
/** Time between a VM's reads of the term holder, in milliseconds. */
const HOLDER_INTERVAL = 900;
/** Interval between two copies of the store, in milliseconds. */
const COPY_INTERVAL = 100;
/**
 * Time after the return of the store from a copy until operators and servers
 * write again what was lost, in milliseconds.
 */
const REWRITE_DELAY = 250;
/** Default limits of the retries that reach servers. */
const DEFAULT_RETRY_LIMITS = { ratio: 0.1, windowSeconds: 10, minimum: 10 };
/** Default age of a copy from which the store returns, in milliseconds. */
const COPY_AGE = 3_000;
/** Time between two samples of keys, in milliseconds. */
const SAMPLE_INTERVAL = 40;
/**
 * Number of sequence numbers reserved for the writes of one process of a VM.
 */
const SEQUENCES_PER_PROCESS = 2 ** 20;
/** Upper bound of the number of VMs in a simulation. */
const MAXIMUM_VMS = 2 ** 10;
/**
 * Time between two checks of the configuration versions that VMs have, in
 * milliseconds.
 */
const COMPARE_INTERVAL = 100;
/**
 * Time without a fault after which a VM has to be up to date, in milliseconds.
 */
const STABILITY_TIME = 3_000;

/** A fault that begins at `at` and lasts `duration` milliseconds. */
export interface Fault {
  kind:
    /** The VM's process does not run, while its clocks go on. */
    | "vm.freeze"
    /**
     * The VM's machine is suspended: nothing runs, and its monotonic clock
     * stops.
     */
    | "vm.suspend"
    /**
     * The VM's time of day is set forward by `duration`, and back after
     * `duration`.
     */
    | "vm.clock_step"
    | "vm.kill"
    | "vm.cut_from_store"
    /**
     * Answers to the VM's long polls are lost without an error. Its other calls
     * to the store are answered.
     */
    | "vm.loses_polls"
    /** The links between the VM and all servers are silent. */
    | "vm.cut_from_servers"
    /** The VM's bytes arrive at all servers, but theirs not at the VM. */
    | "vm.servers_one_way"
    /** The connections between the VM and all servers are reset. */
    | "vm.servers_reset"
    /**
     * The addresses of all servers refuse new connections of the VM, while the
     * open ones work.
     */
    | "vm.servers_refuse"
    | "vm.cut_from_peers"
    /** Callers do not reach the VM and send their requests to others. */
    | "vm.cut_from_callers"
    | "vm.shutdown"
    | "server.crash"
    /** The server states that it is leaving, and registers as draining. */
    | "server.drain"
    /**
     * The server states that it is leaving, but its entry in the registry does
     * not show it. It exits after `duration`.
     */
    | "server.leave"
    | "server.cut_from_store"
    | "server.join"
    /** The server restarts with the same id and address, and without state. */
    | "server.restart"
    /**
     * The server ends, and another process with a different id starts at its
     * address.
     */
    | "server.replaced"
    /**
     * The server crashes and resets all its requests. Some seconds later
     * another process with a different id starts at its address.
     */
    | "server.lost"
    /** All VMs but the first one are cut off from the server. */
    | "server.cut_from_vms"
    /**
     * Another writer registers an entry with the server's address for a service
     * that is not configured.
     */
    | "registry.foreign_entry"
    /**
     * Operators evacuate the availability zone with the index `target`. Its
     * servers are cold when the zone is restored, if servers warm up.
     */
    | "zone.evacuated"
    | "store.down"
    /**
     * The store is unavailable for `duration` and returns from a copy that was
     * `age` milliseconds old when the fault began. Operators and servers write
     * again what was lost, 250 ms after the return.
     */
    | "store.restored"
    | "store.loses_answers"
    | "store.rebalance"
    | "orders.late"
    | "orders.lost";
  at: number;
  duration: number;
  /** Index of the VM or server, taken modulo their number. */
  target: number;
  /** Age of the copy for `store.restored`, in milliseconds. */
  age?: number;
}

/** What the model's store keeps, as it was at some time. */
interface StoreCopy {
  at: number;
  store: ModelStoreCopy;
  entries: Map<string, BackendServer>;
  registryLength: number;
  holder: HolderAddress | null;
  quarantine: { records: CrashRecord[]; at: number } | null;
  version: number;
  evacuated: Map<string, number>;
  operatorLogLength: number;
}

/** Options of a simulation. */
export interface SimulationOptions {
  vms: number;
  servers: number;
  faults: readonly Fault[];
  duration: number;
  seed: number;
  /** Fitness of each VM to hold the term; the same for all if left out. */
  fitness?: readonly number[];
  /**
   * Limits of the retries that reach the servers;
   * {@linkcode DEFAULT_RETRY_LIMITS} if left out.
   */
  retryLimits?: RetryLimits;
  /**
   * Lease timing of the first VM where it differs from the default. Tests use
   * it to break a rule that the simulation must then report.
   */
  firstTiming?: Partial<LeaseTiming>;
  /** Lease timing of all other VMs where it differs from the default. */
  otherTiming?: Partial<LeaseTiming>;
  /**
   * Time between two versions of the configuration, in milliseconds; only the
   * first version is published if left out.
   */
  configurationInterval?: number;
  /** Number of availability zones; one if left out. */
  zones?: number;
  /**
   * Number of VMs that others contact when they know no peers; none if left
   * out.
   */
  seedVms?: number;
  /** Requests that callers send; none if left out. */
  load?: LoadOptions;
  /** Optional behaviour of the VMs; none if left out. */
  features?: Features;
  /** Whether the store discards assignments. */
  isStoreVolatile?: boolean;
  /**
   * Whether orders name no server, so that any process at the address accepts
   * them.
   */
  isServerUnnamed?: boolean;
  /**
   * Whether a server rejects orders as misdirected while another entry is
   * registered with its address. The term holder then concludes that the server
   * has ended.
   */
  isForeignEntryTrusted?: boolean;
  /** Whether the store states no era, like older stores. */
  isEraHidden?: boolean;
  /**
   * Number of VMs, from the first one on, that know no era, like those of older
   * versions. They neither read it nor exchange it with others.
   */
  vmsWithoutEra?: number;
  /** Whether a renewal reuses the token of the grant that it renews. */
  isTokenReused?: boolean;
  /**
   * Whether term holders always report that the store has just answered them.
   */
  isStoreSilenceHidden?: boolean;
  /** Whether the uptime that VMs read is that of another machine. */
  isUptimeForeign?: boolean;
  /** Whether each jump of the time of day counts as a certain suspension. */
  isClockJumpCertain?: boolean;
  /**
   * Time for which the address of a crashed server still accepts connections,
   * in milliseconds; none if left out.
   */
  exitTime?: number;
  /** Names of the log lines that the report contains; none if left out. */
  loggedDecisions?: readonly string[];
  /** Whether VMs can open no connections through others. */
  areRelaysBroken?: boolean;
  /** Whether every order may open a connection. */
  mayAlwaysConnect?: boolean;
  /**
   * Processor time that a VM takes to create an order, in milliseconds; none if
   * left out. The orders of one step are sent once all of them are created, and
   * the VM is blocked until then.
   */
  orderTime?: number;
  /**
   * Processor time that a VM takes to send a message to another VM, in
   * milliseconds; none if left out.
   */
  messageTime?: number;
}

/** Result of a simulation. */
export interface SimulationReport {
  violations: string[];
  grants: number;
  moves: number;
  /** Addresses of the VMs that announced a term, in order. */
  holders: string[];
  /** Share of the sampled keys on which the assigned server held a lease. */
  heldShare: number;
  /** Time of each sample, and whether the key was held. */
  samples: { at: number; isHeld: boolean }[];
  /** Time of each grant that gave keys to another server than before. */
  handovers: { at: number; keys: number; to: string }[];
  /**
   * Configurations that went back at a VM, evacuations that ended there although
   * operators have not ended them, and running servers that it removed. Recorded
   * only in simulations in which the store returns from a copy.
   */
  regressions: string[];
  /**
   * At the end, the servers that a running VM lists although they do not run, or
   * that run and it does not list; one line each.
   */
  listingFaults: string[];
  /** Times of all reads of the store by VMs. */
  readTimes: number[];
  /**
   * Longest time for which a VM without a fault lacked a version of the
   * configuration, in milliseconds.
   */
  configurationLag: number;
  /** Calls to the store by VMs, by kind. */
  storeCalls: Map<string, number>;
  /** Results of callers' requests. */
  load: RequestLoad | null;
  /** Messages between VMs, by kind. */
  messages: Map<string, number>;
  /** Number of orders that a VM sent although its authority had ended. */
  staleOrders: number;
  /**
   * Number of orders that were not sent: no connection was open, and they were
   * not allowed to open one or were too old to do so.
   */
  withheldOrders: number;
  /** Time at which each VM first quarantined a request, by VM id. */
  quarantinedAt: Map<string, number>;
  /** Log lines of VMs that {@linkcode SimulationOptions.loggedDecisions} names. */
  log: Record<string, unknown>[];
  /** Messages between VMs that contained crash records. */
  quarantineMessages: PeerMessage[];
  /**
   * Times at which servers crashed by a fault `server.lost` or by a request.
   */
  serverCrashTimes: number[];
  /**
   * Time since the evacuation of the zone, for each request that was sent to an
   * evacuated zone.
   */
  evacuatedZoneSends: number[];
  /**
   * Longest time until all VMs knew of an evacuation or its end, in
   * milliseconds.
   */
  evacuationLag: number;
}

/** A connection for orders through another VM, to one server process. */
interface RelayedOrderConnection {
  connection: RelayedConnection;
  process: ModelServer;
}

/** A VM with its entry process. */
class Vm {
  entry: Entry;
  /** Number of restarts so far; tells the processes of the VM apart. */
  restartCount = 0;
  isUp = true;
  /**
   * Whether it reads the store's feeds itself, instead of receiving store
   * updates from the term holder.
   */
  isFollowing = true;
  /** Whether the answer to its long poll was lost without an error. */
  isPollLost = false;
  /** Whether the last call to the store failed. */
  isStoreFailing = false;
  /**
   * Time since which it has been running and connected to the store and all
   * peers.
   */
  stableSince = 0;
  /** Time until which the process does not run. */
  frozenUntil = -1;
  /** Time by which its time of day was set forward. */
  timeOfDayOffset = 0;
  /**
   * Time at which it sent the latest membership call that the store answered.
   */
  joinedAt = -Infinity;
  /**
   * Time after a suspension until messages sent during it are retransmitted.
   */
  resendDelay = 0;
  /** Total time for which its machine has been suspended. */
  suspendedTime = 0;
  /** Server processes with an open connection, by address. */
  readonly connections = new Map<string, ModelServer>();
  /** Ends each order in flight over a direct connection, by its number. */
  readonly directOrders = new Map<number, () => void>();
  /** Connections for orders through other VMs, by VM, kind and address. */
  readonly relayedConnections = new Map<string, RelayedOrderConnection>();
  /** Era of the store as this process knows it. */
  era = StoreEra.create();
  timerAt = Infinity;
  /**
   * Age that the order being carried out will have when it is sent, in
   * milliseconds.
   */
  orderAge = 0;
  /** Withheld orders whose end has not been reported to the entry yet. */
  withheldOrders: number[] = [];
  /** Clock of its process. */
  clock: ElapsedClock;
  constructor(
    readonly index: number,
    private readonly options: SimulationOptions,
    private readonly time: Timeline,
  ) {
    this.entry = this.createEntry();
    this.clock = this.#createClock();
  }

  #createClock(): ElapsedClock {
    return ElapsedClock.create({
      steady: () => this.time.now - this.suspendedTime,
      timeOfDay: () => Math.floor(this.time.now + this.timeOfDayOffset),
      uptime: () => {
        const rate = this.options.isUptimeForeign ? FOREIGN_RATE : 1;
        return Math.floor(this.time.now * rate / 10) * 10;
      },
    });
  }

  get id(): string {
    return `vm-${this.index}/${this.restartCount}`;
  }

  get address(): string {
    return `vm-${this.index}`;
  }

  createEntry(): Entry {
    const { firstTiming, otherTiming, seed } = this.options;
    const timing = this.index === 0 ? firstTiming : otherTiming;
    return Entry.create({
      peerAddress: this.address,
      seeds: Array.from(
        { length: this.options.seedVms ?? 0 },
        (_, index) => `vm-${index}`,
      ).filter((address) => address !== this.address),
      availabilityZone: `zone-${this.index % (this.options.zones ?? 1)}`,
      leaseTiming: leaseTimingSchema.parse({ ...timing }),
      fitness: this.options.fitness?.[this.index] ?? 1,
      retryLimits: this.options.retryLimits ?? DEFAULT_RETRY_LIMITS,
      shutdown: { closeAfter: 500, stopAfter: 1_000 },
      registryTiming: { interval: 450, maximumAge: 1_200 },
      drainTime: 2_000,
      features: this.options.features,
      seed: seed + this.index + 100 * this.restartCount,
    });
  }

  /** Closes the connections for orders through a VM, except those in use. */
  retireRelay(relay: string): void {
    for (const [name, { connection }] of this.relayedConnections) {
      if (!name.startsWith(`${relay} `)) continue;
      this.relayedConnections.delete(name);
      if (!connection.isInUse) connection.close();
    }
  }

  restart(): void {
    this.restartCount += 1;
    this.entry = this.createEntry();
    this.clock = this.#createClock();
    this.era = StoreEra.create();
    this.isUp = true;
    this.isFollowing = true;
    this.isPollLost = false;
    this.isStoreFailing = false;
    this.connections.clear();
    this.relayedConnections.clear();
    this.directOrders.clear();
    this.withheldOrders = [];
    this.timerAt = Infinity;
  }
}

/** See the module's comment. */
export class Simulation {
  readonly #time = Timeline.create();
  readonly #store: ModelStore;
  readonly #vms: Vm[] = [];
  /** All server processes, including those that have ended. */
  readonly #servers: ModelServer[] = [];
  /** Entries of the registry, by server id. */
  readonly #entries = new Map<string, BackendServer>();
  /** Log of the registry: ids of the entries written or removed, in order. */
  #registryLog: string[] = [];
  /** Time at which each fault ends, by the name that `#faultName` returns. */
  readonly #activeUntil = new Map<string, number>();
  /** Tokens of first grants, for simulations in which renewals reuse them. */
  readonly #firstTokens = new Map<string, number>();
  readonly #draw: () => number;
  readonly #relays: ModelRelays;
  readonly #report: SimulationReport = {
    violations: [],
    grants: 0,
    moves: 0,
    holders: [],
    heldShare: 0,
    samples: [],
    handovers: [],
    regressions: [],
    listingFaults: [],
    readTimes: [],
    configurationLag: 0,
    storeCalls: new Map(),
    load: null,
    messages: new Map(),
    quarantinedAt: new Map(),
    log: [],
    quarantineMessages: [],
    serverCrashTimes: [],
    evacuatedZoneSends: [],
    evacuationLag: 0,
    staleOrders: 0,
    withheldOrders: 0,
  };
  /** Era that the store states. */
  #era = 1;
  /** Copies of the store, oldest first. */
  readonly #copies: StoreCopy[] = [];
  /** Server to which each range was granted last. */
  #grantees: (KeyGrant & { server: string })[] = [];
  #sampleCount = 0;
  #replacementCount = 0;
  #copyCount = 0;
  #heldCount = 0;
  /** Zones that operators want to be evacuated, and since when. */
  readonly #intendedEvacuations = new Map<string, number>();
  /** Entries that servers have written last, also if the store has lost them. */
  readonly #intendedEntries = new Map<string, BackendServer>();
  /** What each process of a VM was known to know. */
  readonly #knowledge = new Map<
    string,
    { version: number; zones: string[]; servers: string[] }
  >();
  /** Evacuated zones with the time of their evacuation. */
  readonly #evacuated = new Map<string, number>();
  /** Feed of operators' requests: zones and whether they are evacuated. */
  #operatorLog: { zone: string; isOn: boolean }[] = [];
  /** VMs whose claim of a term succeeded, by term. */
  readonly #claims = new Map<number, string>();
  #holder: HolderAddress | null = null;
  /** Quarantine record in the store, and when it was written. */
  #recordedQuarantine: { records: CrashRecord[]; at: number } | null = null;
  /** Publication times of the configuration versions. */
  readonly #publications: number[] = [0];
  /** Newest version in the store. */
  #storedVersion = 1;

  private constructor(private readonly options: SimulationOptions) {
    this.#draw = createUniformGenerator(options.seed);
    this.#store = ModelStore.create(!options.isStoreVolatile);
    this.#relays = this.#createRelays();
    for (let i = 0; i < options.servers; i++) this.#addServer();
    for (let i = 0; i < options.vms; i++) {
      const vm = new Vm(i, options, this.#time);
      this.#vms.push(vm);
      this.#time.after(this.#draw() * 300, () => this.#start(vm));
    }
    if (options.load !== undefined) {
      this.#report.load = RequestLoad.create(
        options.load,
        this.#time,
        this.#draw,
        {
          vms: () =>
            this.#vms.filter(({ isUp, index }) =>
              isUp && !this.#isActive("vm.cut_from_callers", index)
            ).map((vm) => vm.index),
          arrive: (vm, arrival) =>
            this.#handle(this.#vms[vm], { kind: "request.arrived", arrival }),
          isRunning: (vm) => this.#vms[vm].frozenUntil <= this.#time.now,
          end: (vm, attempt, outcome) =>
            this.#handle(this.#vms[vm], {
              kind: "attempt.ended",
              attempt,
              outcome,
            }),
          holds: (server, address, key) => this.#holds(server, address, key),
          isListening: (server, address) => {
            const found = this.#processAt(address);
            return found?.id === server && found.isUp;
          },
          isCold: (server) => this.#isCold(server),
          isLeaving: (server) =>
            this.#servers.findLast(({ id }) => id === server)?.isLeaving ??
              false,
          crash: (address) => this.#loseServer(this.#processAt(address)!),
          serverLinks: (vm) => this.#serverLinks(vm),
          openRelayed: (...args) => this.#relays.open(...args),
          isSameZone: (vm, server) =>
            this.#zoneOf(vm) === this.#entries.get(server)?.availabilityZone,
        },
      );
    }
    const { configurationInterval } = options;
    if (configurationInterval !== undefined) {
      this.#time.after(
        configurationInterval,
        () => this.#publishConfiguration(configurationInterval),
      );
      this.#time.after(0, () => this.#checkConfigurations());
    }
    for (const fault of options.faults) {
      this.#time.after(fault.at, () => this.#inject(fault));
    }
    if (options.faults.some(({ kind }) => kind === "store.restored")) {
      this.#copyStore();
      this.#checkKnowledge();
    }
  }

  /** Records what VMs have forgotten since the last check. */
  #checkKnowledge(): void {
    for (const vm of this.#vms) {
      if (!vm.isUp || vm.frozenUntil > this.#time.now) continue;
      const { catalog, fleet } = vm.entry.clusterState;
      const known = {
        version: catalog.version,
        zones: fleet.evacuations.zones,
        servers: fleet.all().map(({ id }) => id),
      };
      const before = this.#knowledge.get(vm.id) ?? known;
      this.#knowledge.set(vm.id, known);
      const forgotten = [
        ...(known.version < before.version
          ? [`version ${before.version}`]
          : []),
        ...before.zones.filter((each) =>
          !known.zones.includes(each) && this.#intendedEvacuations.has(each)
        ),
        ...before.servers.filter((each) =>
          !known.servers.includes(each) && this.#isRunning(each)
        ),
      ];
      const at = Math.round(this.#time.now);
      this.#report.regressions.push(
        ...forgotten.map((each) => `${at} ms: ${vm.id} forgot ${each}`),
      );
    }
    this.#time.after(COMPARE_INTERVAL, () => this.#checkKnowledge());
  }

  #checkListings(): void {
    const ids = new Set(this.#servers.map(({ id }) => id));
    for (const { id, isUp, entry } of this.#vms) {
      if (!isUp) continue;
      for (const server of ids) {
        const isListed = entry.clusterState.fleet.get(server) !== undefined;
        if (isListed === this.#isRunning(server)) continue;
        const fault = isListed ? "lists" : "does not list";
        this.#report.listingFaults.push(`${id} ${fault} ${server}`);
      }
    }
  }

  /** Whether the newest process of a server runs and is not leaving. */
  #isRunning(id: string): boolean {
    const server = this.#servers.findLast((each) => each.id === id);
    return server !== undefined && server.isUp && !server.isLeaving;
  }

  /** Copies the store at regular intervals. */
  #copyStore(): void {
    const { now } = this.#time;
    if (!this.#isActive("store.down")) {
      this.#copies.push({
        at: now,
        store: this.#store.copy(now),
        entries: new Map(this.#entries),
        registryLength: this.#registryLog.length,
        holder: this.#holder,
        quarantine: this.#recordedQuarantine,
        version: this.#storedVersion,
        evacuated: new Map(this.#evacuated),
        operatorLogLength: this.#operatorLog.length,
      });
    }
    this.#time.after(COPY_INTERVAL, () => this.#copyStore());
  }

  /** Makes the store unavailable and lets it return from an older copy. */
  #restoreStore({ duration, age = COPY_AGE }: Fault): void {
    const { now } = this.#time;
    const copy = this.#copies.findLast(({ at }) => at <= now - age) ??
      this.#copies[0];
    const until = this.#activeUntil.get("store.down") ?? -1;
    this.#activeUntil.set("store.down", Math.max(until, now + duration));
    this.#time.after(duration, () => this.#returnFromCopy(copy));
  }

  #returnFromCopy(copy: StoreCopy): void {
    this.#store.restore(copy.store, this.#time.now);
    this.#entries.clear();
    for (const [id, entry] of copy.entries) this.#entries.set(id, entry);
    this.#registryLog = this.#registryLog.slice(0, copy.registryLength);
    this.#holder = copy.holder;
    this.#recordedQuarantine = copy.quarantine;
    this.#storedVersion = copy.version;
    this.#evacuated.clear();
    for (const [zone, at] of copy.evacuated) this.#evacuated.set(zone, at);
    this.#operatorLog = this.#operatorLog.slice(0, copy.operatorLogLength);
    this.#era += 1;
    const era = this.#era;
    this.#time.after(REWRITE_DELAY, () => {
      if (this.#era === era) this.#rewrite();
    });
  }

  /** Writes again what operators and servers have written and the store lost. */
  #rewrite(): void {
    for (const [id, entry] of this.#intendedEntries) {
      const found = this.#servers.findLast((each) => each.id === id);
      if (found === undefined || found.isUp) this.#writeEntry(id, entry);
    }
    for (const id of this.#entries.keys()) {
      if (this.#intendedEntries.has(id)) continue;
      this.#time.after(ENTRY_LIFETIME, () => {
        const found = this.#servers.findLast((each) => each.id === id);
        if (!found?.isUp) this.#writeEntry(id, null);
      });
    }
    this.#storedVersion = this.#publications.length;
    this.#pushConfiguration();
    const intended = this.#intendedEvacuations;
    const zones = new Set([...intended.keys(), ...this.#evacuated.keys()]);
    for (const zone of zones) {
      const since = intended.get(zone);
      if (this.#evacuated.has(zone) === (since !== undefined)) continue;
      this.#evacuate(zone, since !== undefined, since);
    }
  }

  #createRelays(): ModelRelays {
    return ModelRelays.create(this.#time, {
      indexOf: (address) =>
        this.#vms.find((each) => each.address === address)?.index,
      addressOf: (vm) => this.#vms[vm].address,
      isUp: (vm) => this.#vms[vm].isUp,
      frozenFor: (vm) => this.#vms[vm].frozenUntil - this.#time.now,
      areCut: (vm, other) =>
        (this.options.areRelaysBroken ?? false) ||
        this.#isActive("vm.cut_from_peers", vm) ||
        this.#isActive("vm.cut_from_peers", other),
      serverLinks: (vm) => this.#serverLinks(vm),
      acceptsConnections: (address) => this.#acceptsConnections(address),
      handle: (vm, event) => this.#handle(this.#vms[vm], event),
    });
  }

  /** Runs a simulation to its end. */
  static runToEnd(options: SimulationOptions): SimulationReport {
    const simulation = new Simulation(options);
    simulation.#sampleKey();
    simulation.#time.runUntil(options.duration);
    simulation.#checkListings();
    simulation.#report.heldShare = simulation.#heldCount /
      Math.max(1, simulation.#sampleCount);
    return simulation.#report;
  }

  #start(vm: Vm): void {
    this.#sendConfiguration(vm);
    this.#sendEvacuations(vm);
    this.#readHolder(vm, vm.restartCount);
  }

  #sendConfiguration(vm: Vm): void {
    const isKeyed = this.options.load?.isKeyed ?? true;
    this.#handle(vm, {
      kind: "configuration.read",
      configuration: {
        version: this.#storedVersion,
        routes: this.options.load === undefined
          ? []
          : RequestLoad.routes(SERVICE, this.options.load),
        services: [{
          name: SERVICE,
          maximumConnections: 10,
          isKeyed,
          ...this.#warmUp(),
        }],
        limits: {
          maximumHeaderBytes: 1,
          maximumBodyBytes: 1,
          headerTimeout: 1,
          idleTimeout: 1,
        },
      },
    });
  }

  #warmUp() {
    const { warmUp } = this.options.load ?? {};
    if (warmUp === undefined) return {};
    const { duration, requestsPerSecond } = warmUp;
    return { warmUp: { duration, requestsPerSecond } };
  }

  #sendEvacuations(vm: Vm): void {
    if (!this.#reachesStore(vm)) return;
    const position = this.#operatorLog.length;
    const from = vm.entry.clusterState.fleet.evacuations.position;
    if (from < 0 || from > position) {
      const evacuated = [...this.#evacuated.keys()];
      const read = { position, evacuated, restored: [], isWhole: true };
      return this.#handle(vm, { kind: "evacuations.read", read });
    }
    const latest = new Map(
      this.#operatorLog.slice(from).map(({ zone, isOn }) => [zone, isOn]),
    );
    const zones = (isOn: boolean) =>
      [...latest.keys()].filter((zone) => latest.get(zone) === isOn);
    const read = {
      position,
      evacuated: zones(true),
      restored: zones(false),
      isWhole: false,
    };
    this.#handle(vm, { kind: "evacuations.read", read });
  }

  /**
   * Writes an operator's request to evacuate or restore a zone, and answers the
   * long polls that wait for it.
   */
  #evacuate(zone: string, isOn: boolean, since = this.#time.now): void {
    const { now } = this.#time;
    if (isOn) this.#evacuated.set(zone, since);
    else this.#evacuated.delete(zone);
    this.#operatorLog.push({ zone, isOn });
    for (const vm of this.#vms) {
      if (!vm.isUp || !vm.isFollowing || vm.isPollLost) continue;
      this.#time.after(2 * ONE_WAY_DELAY, () => this.#sendEvacuations(vm));
    }
    this.#checkEvacuations(now, this.#operatorLog.length);
  }

  /**
   * Records how long it takes until all running VMs know the operators'
   * requests up to `position`; stops when a later request has been written.
   */
  #checkEvacuations(since: number, position: number): void {
    if (position !== this.#operatorLog.length) return;
    const isKnown = this.#vms.every((vm) =>
      !vm.isUp || vm.frozenUntil > this.#time.now ||
      vm.entry.clusterState.fleet.evacuations.position >= position
    );
    const lag = this.#time.now - since;
    this.#report.evacuationLag = Math.max(this.#report.evacuationLag, lag);
    if (isKnown) return;
    this.#time.after(10, () => this.#checkEvacuations(since, position));
  }

  #recordEvacuatedZoneSend(server: string): void {
    const zone = this.#entries.get(server)?.availabilityZone;
    const since = zone === undefined ? undefined : this.#evacuated.get(zone);
    if (since === undefined) return;
    this.#report.evacuatedZoneSends.push(this.#time.now - since);
  }

  /**
   * Publishes the next configuration version and answers the long polls that
   * wait.
   */
  #publishConfiguration(interval: number): void {
    this.#publications.push(this.#time.now);
    this.#storedVersion = this.#publications.length;
    this.#pushConfiguration();
    this.#time.after(interval, () => this.#publishConfiguration(interval));
  }

  /** Answers the long polls that wait for a configuration. */
  #pushConfiguration(): void {
    for (const vm of this.#vms) {
      if (!vm.isUp || !vm.isFollowing || !this.#reachesStore(vm)) continue;
      const isLost = this.#isActive("store.loses_answers") ||
        this.#isActive("vm.loses_polls", vm.index);
      if (isLost) vm.isPollLost = true;
      else if (!vm.isPollLost) this.#readConfiguration(vm);
    }
  }

  /** Reads the configuration for a VM if it can reach the store. */
  #readConfiguration(vm: Vm): void {
    const { restartCount } = vm;
    const sentIn = vm.era.current;
    this.#countCall("configuration");
    if (!this.#reachesStore(vm)) return;
    if (this.#isActive("store.loses_answers")) return;
    this.#time.after(2 * ONE_WAY_DELAY, () => {
      if (vm.restartCount !== restartCount) return;
      if (!this.#reachesStore(vm)) return;
      if (this.#acceptsEra(vm, sentIn)) this.#sendConfiguration(vm);
    });
  }

  /**
   * Records how far VMs without a fault are behind the published configuration.
   */
  #checkConfigurations(): void {
    const { now } = this.#time;
    const isStoreFaulty = this.#isActive("store.down") ||
      this.#isActive("store.loses_answers");
    for (const vm of this.#vms) {
      const isDisturbed = isStoreFaulty || !vm.isUp || vm.frozenUntil > now ||
        vm.entry.isReady === false || !this.#reachesStore(vm) ||
        this.#isActive("vm.cut_from_peers", vm.index);
      if (isDisturbed) vm.stableSince = now;
      if (now - vm.stableSince < STABILITY_TIME) continue;
      // Version n has index n - 1, so this is the publication of the first
      // version that the VM lacks.
      const missingSince =
        this.#publications[vm.entry.clusterState.catalog.version];
      if (missingSince === undefined) continue;
      const lag = now - missingSince;
      this.#report.configurationLag = Math.max(
        this.#report.configurationLag,
        lag,
      );
    }
    this.#time.after(COMPARE_INTERVAL, () => this.#checkConfigurations());
  }

  #countCall(kind: string): void {
    const { storeCalls } = this.#report;
    storeCalls.set(kind, (storeCalls.get(kind) ?? 0) + 1);
    if (kind !== "join") this.#report.readTimes.push(this.#time.now);
  }

  /**
   * Reads the term holder for a VM at regular intervals until its process ends.
   */
  #readHolder(vm: Vm, restartCount: number): void {
    if (vm.restartCount !== restartCount) return;
    if (vm.isFollowing) this.#countCall("holder");
    const mayRead = this.#reachesStore(vm) && vm.isFollowing;
    if (mayRead) this.#acceptsEra(vm, vm.era.current);
    if (mayRead && this.#holder !== null) {
      this.#handle(vm, { kind: "holder.announced", holder: this.#holder });
    }
    if (mayRead && this.#recordedQuarantine !== null) {
      const { records, at } = this.#recordedQuarantine;
      const passed = this.#time.now - at;
      this.#handle(vm, {
        kind: "quarantine.read",
        records: records.map((each) => ({ ...each, age: each.age + passed })),
      });
    }
    if (mayRead) this.#handle(vm, { kind: "holder.read" });
    this.#time.after(HOLDER_INTERVAL, () => this.#readHolder(vm, restartCount));
  }

  /**
   * Reads the changes of the registry since position `from`; all entries if
   * null. Returns null if the log ends before `from`.
   */
  #readRegistry(from: number | null): RegistryRead | null {
    const position = this.#registryLog.length;
    if (from === null || from > position) {
      if (from !== null) return null;
      const entries = [...this.#entries.values()];
      return { entries, removed: [], unreadable: [], isWhole: true, position };
    }
    const ids = new Set(this.#registryLog.slice(from));
    const entries = [...ids].flatMap((id) => this.#entries.get(id) ?? []);
    const removed = [...ids].filter((id) => !this.#entries.has(id));
    return { entries, removed, unreadable: [], isWhole: false, position };
  }

  /** Writes a server's entry to the registry, or removes it (null). */
  #writeEntry(id: string, entry: BackendServer | null): void {
    if (entry === null) {
      this.#entries.delete(id);
      this.#intendedEntries.delete(id);
    } else {
      this.#entries.set(id, entry);
      this.#intendedEntries.set(id, entry);
    }
    this.#registryLog.push(id);
  }

  /**
   * Samples a random key: counts whether the server that a random VM has in its
   * assignment holds a lease on the key.
   */
  #sampleKey(): void {
    const key = Math.floor(this.#draw() ** 2 * 65_536);
    const vm = this.#vms[Math.floor(this.#draw() * this.#vms.length)];
    const range = vm.entry.clusterState.directory.find(SERVICE, key);
    this.#sampleCount += 1;
    const server = this.#servers.findLast(({ id }) => id === range?.server);
    const isHeld = server?.isUp &&
      server.leases.some((each) =>
        each.first <= key && key <= each.last && each.until > this.#time.now
      );
    const isOpenAndHeld = (isHeld ?? false) && (range?.isOpen ?? false);
    if (isOpenAndHeld) this.#heldCount += 1;
    this.#report.samples.push({ at: this.#time.now, isHeld: isOpenAndHeld });
    this.#time.after(SAMPLE_INTERVAL, () => this.#sampleKey());
  }

  #zoneOf(index: number): string {
    return `zone-${index % (this.options.zones ?? 1)}`;
  }

  /**
   * Whether a server holds a key now; null if no server listens at the address.
   */
  #holds(id: string, address: string, key: number): boolean | null {
    const found = this.#processAt(address);
    if (found === undefined || !found.isUp) return null;
    return found.id === id &&
      found.leases.some((each) =>
        each.first <= key && key <= each.last && each.until > this.#time.now
      );
  }

  /** Passes an event to a VM; a frozen VM receives it once it runs again. */
  #handle(vm: Vm, event: UntimedEvent): void {
    if (!vm.isUp) return;
    const { now } = this.#time;
    if (vm.frozenUntil > now) {
      const restartCount = vm.restartCount;
      const isTimer = event.kind === "timer";
      const delay = isTimer ? 0 : vm.resendDelay;
      this.#time.after(vm.frozenUntil + delay - now, () => {
        if (vm.restartCount === restartCount) this.#handle(vm, event);
      });
      return;
    }
    const effects = [
      ...this.#detectJumps(vm),
      ...vm.entry.step({ ...event, now: vm.clock.now() }),
    ];
    this.#performSteps(vm, [effects], 0);
  }

  /** Reads a VM's clock and passes the jumps that it detects to the VM. */
  #detectJumps(vm: Vm): EntryEffect[] {
    const jumps: ClockJump[] = [];
    const stop = vm.clock.onJump((jump) => jumps.push(jump));
    const now = vm.clock.now();
    stop();
    const isCertain = this.options.isClockJumpCertain;
    return jumps.flatMap((jump) =>
      vm.entry.step({
        kind: "clock.jumped",
        ...jump,
        ...(isCertain ? { isCertain } : {}),
        now,
      })
    );
  }

  #setTimer(vm: Vm): void {
    const now = vm.clock.now();
    const at = vm.entry.nextAt(now);
    if (vm.timerAt <= at && vm.timerAt > now) return;
    vm.timerAt = at;
    const restartCount = vm.restartCount;
    this.#time.after(Math.max(1, at - now), () => {
      if (vm.restartCount !== restartCount || vm.timerAt !== at) return;
      vm.timerAt = Infinity;
      this.#handle(vm, { kind: "timer" });
    });
  }

  #perform(vm: Vm, effect: EntryEffect): void {
    switch (effect.kind) {
      case "group.join": {
        this.#countCall("join");
        const calledAt = this.#time.now;
        return this.#callStore(
          vm,
          () => this.#join(vm, effect.group),
          (answer, sentAt) => {
            if (answer === null) return { kind: "group.failed" };
            vm.joinedAt = Math.max(vm.joinedAt, calledAt);
            const { group } = effect;
            const membership = { ...answer, group, sentAt };
            return { kind: "group.joined", membership };
          },
        );
      }
      case "group.leave":
        return this.#callStore(
          vm,
          () => effect.group === "electorate" && this.#store.leave(vm.id),
          () => null,
        );
      case "term.read":
        this.#countCall("record");
        return this.#callStore(
          vm,
          () => this.#store.read(),
          (records) => ({ kind: "term.read", records }),
        );
      case "servers.fetch":
        this.#countCall("registry");
        return this.#callStore(
          vm,
          () => this.#readRegistry(effect.from),
          (read, sentAt) =>
            read === null
              ? { kind: "servers.failed", isExpired: !this.#isStoreLost(vm) }
              : { kind: "servers.read", read, sentAt },
        );
      case "assignments.fetch":
        this.#countCall("record");
        return this.#callStore(
          vm,
          () => this.#store.read(),
          (records) =>
            records === null
              ? null
              : { kind: "assignments.read", assignments: records.assignments },
        );
      case "term.claim": {
        const { term, end } = effect;
        return this.#callStore(
          vm,
          () => this.#store.claim(effect, end, firstSequence(vm)),
          (answer) => {
            if (answer === "done") this.#recordClaim(term, vm);
            return { kind: "term.claimed", term, outcome: answer ?? "again" };
          },
        );
      }
      case "assignments.write": {
        const { term, sequence, assignments } = effect;
        return this.#callStore(
          vm,
          () =>
            this.#store.write(
              term,
              firstSequence(vm) + sequence,
              assignments,
            ),
          (answer) => ({
            kind: "assignments.written",
            term,
            outcome: answer ?? "again",
          }),
        );
      }
      case "holder.announce":
        return this.#callStore(vm, () => {
          const { term, fitness } = effect;
          if (term <= (this.#holder?.term ?? 0)) return;
          const { id, address } = vm;
          this.#holder = { term, vm: id, address, fitness };
          this.#report.holders.push(address);
        }, () => null);
      case "quarantine.write": {
        const { records } = effect;
        const at = this.#time.now;
        this.#countCall("quarantine");
        return this.#callStore(
          vm,
          () => {
            this.#recordedQuarantine = { records, at };
            return "done";
          },
          (answer) => ({
            kind: "quarantine.written",
            isDone: answer !== null,
          }),
        );
      }
      case "attempt.start":
        this.#recordEvacuatedZoneSend(effect.server);
        return this.#report.load!.send(vm.index, effect);
      case "server.check": {
        const { server, address, relay, purpose } = effect;
        const { restartCount } = vm;
        const end = (result: ProbeResult) => {
          if (vm.restartCount !== restartCount) return;
          const checked = { server, relay, purpose, result };
          this.#handle(vm, { kind: "server.checked", ...checked });
        };
        if (relay !== null) {
          return this.#relays.open(
            vm.index,
            relay,
            server,
            address,
            (opened) => {
              if (opened.kind === "opened") opened.connection.close();
              end(PROBE_RESULTS[opened.kind]);
            },
          );
        }
        const links = this.#serverLinks(vm.index);
        const isSilent = links === "silent" || links === "one_way";
        const delay = isSilent ? PROBE_TIMEOUT : 2 * ONE_WAY_DELAY;
        return this.#time.after(
          delay,
          () => end(this.#probe(address, links)),
        );
      }
      case "attempt.cancel":
        return this.#report.load!.cancel(vm.index, effect.attempt);
      case "connections.abandon":
        if (!effect.isEstablishedUsable) {
          for (const end of [...vm.directOrders.values()]) end();
        }
        return this.#report.load?.abandonDirect(
          vm.index,
          effect.isEstablishedUsable,
        );
      case "relay.open":
        return this.#relays.connect(effect);
      case "relay.refuse":
        return this.#relays.refuse(effect.connection);
      case "relay.abort":
        return this.#relays.breakAll(vm.index);
      case "relay.retire":
        this.#report.load?.retireRelay(vm.index, effect.relay);
        vm.retireRelay(effect.relay);
        return this.#relays.retire(vm.index, effect.relay);
      case "request.deliver":
        return this.#report.load!.deliver(effect.exchange, effect.attempt);
      case "request.refuse":
        return this.#report.load!.refuse(effect);
      case "note":
        if (effect.decision === "quarantine.held") this.#recordQuarantine(vm);
        return this.#recordLogLine(vm, effect);
      case "peer.send":
        this.#countMessage(effect.message.kind);
        this.#recordCrashMessage(effect.message);
        if (this.options.isStoreSilenceHidden) hideStoreSilence(effect.message);
        if (this.#isWithoutEra(vm, effect.address)) hideEra(effect.message);
        return this.#sendPeer(vm, effect.address, {
          kind: "peer.received",
          address: vm.address,
          message: effect.message,
        });
      case "order.grant":
      case "order.release":
        return this.#sendOrder(vm, effect);
      case "keys.move":
        this.#report.moves += 1;
        return;
      case "feeds.follow":
        vm.isFollowing = effect.isOn;
        // The answer to the pending long poll may have been lost, so read
        // again.
        if (effect.isOn) this.#restartFeeds(vm);
        return;
      case "store.learn_era":
        vm.era.learn(effect.era);
        return;
      case "configuration.fetch":
        return this.#readConfiguration(vm);
      case "callers.close":
        // The simulation has no caller connections to close.
        return this.#handle(vm, { kind: "callers.closed" });
      case "process.stop":
        this.#endProcess(vm);
        return this.#time.after(300, () => this.#restart(vm));
    }
  }

  /**
   * Records a successful claim of a term. If two VMs claimed the same term,
   * both would use the same tokens for their orders.
   */
  #recordClaim(term: number, { id }: Vm): void {
    const holder = this.#claims.get(term) ?? id;
    this.#claims.set(term, holder);
    if (holder === id) return;
    this.#report.violations.push(`${holder} and ${id} hold term ${term}`);
  }

  #recordLogLine({ id }: Vm, { decision, detail }: LogLine): void {
    if (!this.options.loggedDecisions?.includes(decision)) return;
    const at = Math.round(this.#time.now);
    this.#report.log.push({ at, vm: id, decision, ...detail });
  }

  #recordQuarantine({ id }: Vm): void {
    const { quarantinedAt } = this.#report;
    if (!quarantinedAt.has(id)) quarantinedAt.set(id, this.#time.now);
  }

  #recordCrashMessage(message: PeerMessage): void {
    const hasRecords = (message.quarantine?.records.length ?? 0) > 0;
    if (hasRecords) this.#report.quarantineMessages.push(message);
  }

  #countMessage(kind: string): void {
    const { messages } = this.#report;
    messages.set(kind, (messages.get(kind) ?? 0) + 1);
  }

  /** Joins the electorate, or the observers, which are never elected. */
  #join(vm: Vm, group: ElectionGroup) {
    if (group === "observers") return { generation: 1, isElected: false };
    return this.#store.join(vm.id, this.#time.now, TIME_TO_LIVE);
  }

  /** Whether a VM's calls to the store are not answered now. */
  #isStoreLost(vm: Vm): boolean {
    return !this.#reachesStore(vm) || this.#isActive("store.loses_answers");
  }

  /**
   * Passes the era that the store states in an answer to a VM. Returns whether
   * the VM uses the answer to a call that it sent when it knew `sentIn`.
   */
  #acceptsEra(vm: Vm, sentIn: number | null, era = this.#era): boolean {
    const { isEraHidden, vmsWithoutEra = 0 } = this.options;
    if (isEraHidden || vm.index < vmsWithoutEra) return true;
    const before = vm.era.current;
    const reason = vm.era.accept({ kind: "stated", era }, sentIn);
    const { current } = vm.era;
    if (current !== null && current !== before) {
      this.#handle(vm, { kind: "store.era", era: current });
    }
    return reason === null;
  }

  /** Calls the store. Active faults can lose the call or its answer. */
  #callStore<T>(
    vm: Vm,
    run: () => T,
    answer: (value: T | null, sentAt: number) => UntimedEvent | null,
  ): void {
    const sentAt = vm.clock.now();
    const isDone = this.#reachesStore(vm);
    const isAnswered = isDone && !this.#isActive("store.loses_answers");
    const sentIn = vm.era.current;
    let era = this.#era;
    const reply = (answered: T | null) => {
      const isUsable = answered !== null && this.#acceptsEra(vm, sentIn, era);
      const value = isUsable ? answered : null;
      const event = answer(value, sentAt);
      if (value !== null) this.#handle(vm, { kind: "store.answered", sentAt });
      if (event !== null) this.#handle(vm, event);
    };
    this.#restartPoll(vm, isAnswered);
    const restartCount = vm.restartCount;
    this.#time.after(ONE_WAY_DELAY, () => {
      const value = isDone ? run() : null;
      era = this.#era;
      const wait = isAnswered ? ONE_WAY_DELAY : STORE_TIMEOUT;
      this.#time.after(wait, () => {
        if (vm.restartCount === restartCount) reply(isAnswered ? value : null);
      });
    });
  }

  /**
   * Restarts the long polls of a VM once its calls succeed again after a
   * failure.
   */
  #restartPoll(vm: Vm, isAnswered: boolean): void {
    const hasRecovered = isAnswered && vm.isStoreFailing;
    vm.isStoreFailing = !isAnswered;
    if (hasRecovered) this.#restartFeeds(vm);
  }

  #restartFeeds(vm: Vm): void {
    vm.isPollLost = false;
    if (vm.isFollowing) this.#readConfiguration(vm);
  }

  /** Whether the sender or the receiver of a message knows no era. */
  #isWithoutEra(vm: Vm, address: string): boolean {
    const { vmsWithoutEra = 0 } = this.options;
    const peer = this.#vms.find((each) => each.address === address);
    return vm.index < vmsWithoutEra || (peer?.index ?? 0) < vmsWithoutEra;
  }

  #sendPeer(vm: Vm, address: string, event: UntimedEvent): void {
    const peer = this.#vms.find((each) => each.address === address);
    const isCut = this.#isActive("vm.cut_from_peers", vm.index) ||
      this.#isActive("vm.cut_from_peers", peer?.index);
    if (peer === undefined || isCut) return;
    this.#time.after(ONE_WAY_DELAY, () => this.#handle(peer, event));
  }

  /**
   * Counts an order of a VM whose authority has ended: its last answered
   * membership call was sent too long ago.
   */
  #recordStaleOrder(vm: Vm): void {
    const { authority } = leaseTimingSchema.parse({});
    if (this.#time.now - vm.joinedAt > authority) {
      this.#report.staleOrders += 1;
    }
  }

  #sendOrder(vm: Vm, order: GrantOrder | ReleaseOrder): void {
    this.#recordStaleOrder(vm);
    const isUnreachable = vm.index !== 0 &&
      this.#isActive("server.cut_from_vms", order.address);
    const links = this.#serverLinks(vm.index);
    const isCut = isUnreachable || (links !== "open" && links !== "refused");
    const sentAt = this.#time.now;
    const restartCount = vm.restartCount;
    const end = (outcome: OrderOutcome | null, delay: number) =>
      this.#time.after(delay, () => {
        if (vm.restartCount !== restartCount) return;
        if (!vm.directOrders.delete(order.order) && order.relay === null) {
          return;
        }
        const reported = outcome ?? { kind: "failed", cause: "no answer" };
        if (outcome === null) vm.connections.delete(order.address);
        this.#handle(vm, {
          kind: "order.ended",
          order: order.order,
          outcome: reported,
        });
      });
    this.#reuseToken(order);
    if (order.relay === null) {
      vm.directOrders.set(order.order, () => end(null, 0));
    }
    if (order.relay !== null) {
      return this.#sendThrough(vm, order.relay, order, end);
    }
    const connected = vm.connections.get(order.address);
    const mayArrive = links === "one_way" && !isUnreachable && connected?.isUp;
    if (isCut && !mayArrive) return end(null, ORDER_TIMEOUT);
    const isRefused = links === "refused";
    if (isRefused && !connected?.isUp) return end(null, 2 * ONE_WAY_DELAY);
    if (connected?.isUp) return this.#transmit(vm, connected, order, end);
    const mayConnect = order.mayConnect && vm.orderAge <= MAXIMUM_CONNECT_AGE;
    if (!mayConnect && !this.options.mayAlwaysConnect) {
      return this.#withhold(vm, order);
    }
    const connect = (server: ModelServer) => {
      vm.connections.set(order.address, server);
      this.#transmit(vm, server, order, end);
    };
    const server = this.#processAt(order.address);
    if (server?.isUp) return connect(server);
    const wait = (order.order * 37) % CONNECT_TIMEOUT;
    this.#time.after(wait, () => {
      const next = this.#processAt(order.address);
      if (next?.isUp) return connect(next);
      end(null, sentAt + ORDER_TIMEOUT - this.#time.now);
    });
  }

  /** Sends an order through another VM. */
  #sendThrough(
    vm: Vm,
    relay: string,
    order: GrantOrder | ReleaseOrder,
    end: (outcome: OrderOutcome | null, delay: number) => void,
  ): void {
    const { server, address } = order;
    const name = `${relay} ${order.kind} ${address}`;
    const found = vm.relayedConnections.get(name);
    if (found?.connection.isOpen && found.process.isUp) {
      return this.#transmitThrough(vm, found, order, end);
    }
    const mayConnect = order.mayConnect && vm.orderAge <= MAXIMUM_CONNECT_AGE;
    if (!mayConnect) return this.#withhold(vm, order);
    this.#relays.open(vm.index, relay, server, address, (result) => {
      if (result.kind !== "opened") {
        const isRelayFault = result.kind === "fault";
        return end({ kind: "failed", cause: result.kind, isRelayFault }, 0);
      }
      const opened = {
        connection: result.connection,
        process: this.#processAt(address)!,
      };
      if (!vm.relayedConnections.get(name)?.connection.isOpen) {
        vm.relayedConnections.set(name, opened);
      }
      this.#transmitThrough(vm, opened, order, end);
    });
  }

  #transmitThrough(
    vm: Vm,
    { connection, process }: RelayedOrderConnection,
    order: GrantOrder | ReleaseOrder,
    end: (outcome: OrderOutcome | null, delay: number) => void,
  ): void {
    let isEnded = false;
    const finish = (outcome: OrderOutcome | null) => {
      if (isEnded) return;
      isEnded = true;
      connection.isInUse = false;
      const isKept = [...vm.relayedConnections.values()].some((each) =>
        each.connection === connection
      );
      if (outcome === null || !isKept || connection.isRetired) {
        connection.close();
      }
      end(outcome, 0);
    };
    connection.isInUse = true;
    connection.onBroken = () => finish(null);
    const timeout = order.kind === "order.grant"
      ? ORDER_TIMEOUT
      : RELEASE_TIMEOUT;
    this.#time.after(timeout, () => finish(null));
    connection.toServer(() =>
      this.#transmit(
        vm,
        process,
        order,
        (outcome, delay) =>
          this.#time.after(delay, () => connection.toVm(() => finish(outcome))),
      )
    );
  }

  /**
   * Withholds an order. The VM reports all orders that are withheld in one turn
   * of its event loop together.
   */
  #withhold(vm: Vm, { order }: GrantOrder | ReleaseOrder): void {
    this.#report.withheldOrders += 1;
    vm.withheldOrders.push(order);
    if (vm.withheldOrders.length > 1) return;
    const { restartCount } = vm;
    this.#time.after(
      1 + vm.orderAge,
      () => this.#endWithheld(vm, restartCount),
    );
  }

  /**
   * Reports the end of all withheld orders to the VM in one turn of its event
   * loop.
   */
  #endWithheld(vm: Vm, restartCount: number): void {
    if (vm.restartCount !== restartCount || !vm.isUp) return;
    const delay = vm.frozenUntil - this.#time.now;
    if (delay > 0) {
      return this.#time.after(delay, () => this.#endWithheld(vm, restartCount));
    }
    const { withheldOrders } = vm;
    vm.withheldOrders = [];
    const { orderTime = 0 } = this.options;
    const steps = withheldOrders.map((order) =>
      vm.entry.step({
        kind: "order.ended",
        order,
        outcome: { kind: "withheld" },
        now: vm.clock.now(),
      })
    );
    this.#performSteps(vm, steps, orderTime);
  }

  /**
   * Carries out the effects of the steps of one turn of a VM's event loop. Each
   * step takes `stepTime` on top of its effects. Orders are sent at the end of
   * the turn.
   */
  #performSteps(
    vm: Vm,
    steps: readonly EntryEffect[][],
    stepTime: number,
  ): void {
    const { now } = this.#time;
    const times = steps.map((effects) =>
      effects.map((effect) => this.#processorTime(effect))
    );
    let remaining = times.flat().reduce((sum, time) => sum + time, 0) +
      steps.length * stepTime;
    if (remaining > 0) vm.frozenUntil = now + remaining;
    for (const [i, effects] of steps.entries()) {
      remaining -= stepTime;
      for (const [j, effect] of effects.entries()) {
        vm.orderAge = remaining;
        remaining -= times[i][j];
        this.#perform(vm, effect);
      }
    }
    this.#setTimer(vm);
  }

  /** Returns the processor time that an effect takes, in milliseconds. */
  #processorTime({ kind }: EntryEffect): number {
    const { orderTime = 0, messageTime = 0 } = this.options;
    if (kind === "order.grant" || kind === "order.release") return orderTime;
    return kind === "peer.send" ? messageTime : 0;
  }

  /**
   * Replaces the token of a renewal with that of the first grant if
   * `isTokenReused`.
   */
  #reuseToken(order: GrantOrder | ReleaseOrder): void {
    if (!this.options.isTokenReused) return;
    const { server, first, last } = order;
    const term = Math.floor(order.token / 2 ** 28);
    const name = `${term} ${server} ${first}..${last}`;
    if (order.kind === "order.release") this.#firstTokens.delete(name);
    else {
      order.token = this.#firstTokens.get(name) ?? order.token;
      this.#firstTokens.set(name, order.token);
    }
  }

  /**
   * Returns the latest server process at an address, whether it has ended or
   * not.
   */
  #processAt(address: string): ModelServer | undefined {
    return this.#servers.findLast((each) => each.address === address);
  }

  /**
   * Sends an order over a connection to a server process. The order is lost if
   * the process ends.
   */
  #transmit(
    vm: Vm,
    server: ModelServer,
    order: GrantOrder | ReleaseOrder,
    end: (outcome: OrderOutcome | null, delay: number) => void,
  ): void {
    const isLate = order.kind === "order.grant" &&
      this.#isActive("orders.late");
    const isLost = this.#isActive("orders.lost") && this.#draw() < 0.5;
    const isUnanswered = isLate || isLost ||
      (order.relay === null && this.#serverLinks(vm.index) === "one_way");
    const arrivedAt = this.#time.now + ONE_WAY_DELAY;
    const delay = isLate ? 2_000 + this.#draw() * 10_000 : ONE_WAY_DELAY;
    if (isUnanswered) end(null, ORDER_TIMEOUT);
    this.#time.after(delay, () => {
      const outcome = this.#execute(vm, server, order, arrivedAt);
      if (isUnanswered) return;
      if (outcome === null) return end(null, ONE_WAY_DELAY);
      const work = order.kind === "order.release" ? RELEASE_TIME : 0;
      this.#time.after(
        work,
        () => end(server.isUp ? outcome : null, ONE_WAY_DELAY),
      );
    });
  }

  /** What a server states of itself with its response to an order. */
  #statementOf({ isLeaving }: ModelServer): ServerStatement {
    return {
      load: null,
      rateLimit: undefined,
      isLeaving,
      backoff: null,
      ignored: [],
    };
  }

  /**
   * Executes an order and returns its outcome; null if the server process has
   * ended.
   */
  #execute(
    vm: Vm,
    server: ModelServer,
    order: GrantOrder | ReleaseOrder,
    arrivedAt: number,
  ): OrderOutcome | null {
    if (!server.isUp) return null;
    this.#report.load?.orderArrived(vm.index, server.id);
    if (server.id !== order.server && !this.options.isServerUnnamed) {
      return { kind: "misdirected" };
    }
    if (this.options.isForeignEntryTrusted && this.#hasForeignEntry(server)) {
      return { kind: "misdirected" };
    }
    const statement = this.#statementOf(server);
    const accepted: OrderOutcome = {
      kind: "accepted",
      handover: "h",
      statement,
    };
    if (order.kind === "order.release") {
      server.release(order);
      return accepted;
    }
    if (server.isSuperseded(order)) return { kind: "superseded" };
    const { now } = this.#time;
    const lease = server.grant(order, arrivedAt, now);
    if (lease.until > now) this.#checkOwnership(server, lease);
    return accepted;
  }

  /**
   * Reports other server processes that hold a lease on the keys of a new
   * grant, or have held them with a token that is not lower.
   */
  #checkOwnership(server: ModelServer, lease: KeyLease): void {
    const { now } = this.#time;
    this.#report.grants += 1;
    this.#recordHandover(server, lease);
    for (const other of this.#servers) {
      if (other === server) continue;
      for (const held of other.isUp ? other.leases : []) {
        if (held.until <= now || !overlap(held, lease)) continue;
        const until = `until ${held.until.toFixed(0)}`;
        this.#reportViolation(server, lease, other, `held`, held, until);
      }
      for (const had of other.grants) {
        if (had.token < lease.token || !overlap(had, lease)) continue;
        this.#reportViolation(server, lease, other, "had", had, "");
      }
    }
  }

  /** Records whether a grant gives keys to another server than before. */
  #recordHandover({ id: to }: ModelServer, lease: KeyLease): void {
    const { first, last, token } = lease;
    let keys = 0;
    for (const each of this.#grantees) {
      if (each.server === to || !overlap(each, lease)) continue;
      keys += Math.min(last, each.last) - Math.max(first, each.first) + 1;
    }
    if (keys > 0) this.#report.handovers.push({ at: this.#time.now, keys, to });
    const others = without(this.#grantees, lease);
    this.#grantees = [...others, { first, last, token, server: to }];
  }

  #reportViolation(
    server: ModelServer,
    lease: KeyLease,
    other: ModelServer,
    verb: string,
    held: KeyGrant,
    until: string,
  ): void {
    const describe = ({ first, last, token }: KeyGrant) =>
      `${first}..${last} (token ${token})`;
    this.#report.violations.push(
      `${this.#time.now.toFixed(0)} ms: ${server.name} was granted ` +
        `${describe(lease)} while ${other.name} ${verb} ` +
        `${describe(held)} ${until}`,
    );
  }

  #inject(fault: Fault): void {
    const { kind, duration } = fault;
    const vm = this.#vms[fault.target % this.#vms.length];
    const { address } = this.#servers[fault.target % this.#servers.length];
    const server = this.#processAt(address)!;
    const name = this.#faultName(kind, vm, server);
    this.#activeUntil.set(name, this.#time.now + duration);
    switch (kind) {
      case "vm.freeze":
        vm.frozenUntil = this.#time.now + duration;
        return;
      case "vm.suspend":
        return this.#suspend(vm, duration);
      case "vm.clock_step":
        vm.timeOfDayOffset += duration;
        return this.#time.after(duration, () => vm.timeOfDayOffset -= duration);
      case "vm.kill":
        this.#endProcess(vm);
        return this.#time.after(300 + duration / 4, () => this.#restart(vm));
      case "vm.cut_from_servers":
      case "vm.servers_one_way":
      case "vm.servers_reset":
      case "vm.servers_refuse":
        return this.#cutFromServers(vm, duration);
      case "vm.shutdown":
        return this.#handle(vm, { kind: "shutdown", lateness: 0 });
      case "server.crash":
        server.isUp = false;
        return this.#time.after(ENTRY_LIFETIME, () => this.#deregister(server));
      case "server.cut_from_store":
        // The server loses only the store: it keeps running and keeps its
        // leases.
        return this.#time.after(ENTRY_LIFETIME, () => this.#deregister(server));
      case "server.drain": {
        const entry = this.#entries.get(server.id);
        server.isLeaving = true;
        if (entry !== undefined) {
          this.#writeEntry(server.id, { ...entry, isDraining: true });
        }
        return this.#time.after(4_000, () => {
          this.#deregister(server);
          server.isUp = false;
        });
      }
      case "server.leave":
        server.isLeaving = true;
        return this.#time.after(duration, () => {
          this.#deregister(server);
          server.isUp = false;
        });
      case "server.join":
        return this.#addServer();
      case "zone.evacuated": {
        const zone = this.#zoneOf(fault.target);
        this.#intendedEvacuations.set(zone, this.#time.now);
        this.#evacuate(zone, true);
        return this.#time.after(duration, () => {
          this.#intendedEvacuations.delete(zone);
          this.#coolServers(zone);
          this.#evacuate(zone, false);
        });
      }
      case "server.restart":
        return this.#replace(server, server.id, duration);
      case "server.replaced":
        this.#time.after(ENTRY_LIFETIME, () => this.#deregister(server));
        this.#replacementCount += 1;
        return this.#replace(server, `run-${this.#replacementCount}`, duration);
      case "server.lost":
        return this.#loseServer(server);
      case "registry.foreign_entry":
        return this.#copyEntry(server, duration);
      case "store.rebalance":
        return this.#store.rebalance(this.#draw);
      case "store.restored":
        return this.#restoreStore(fault);
    }
  }

  #endProcess(vm: Vm): void {
    vm.isUp = false;
    this.#relays.breakAll(vm.index);
    this.#relays.closeAll(vm.index);
  }

  #suspend(vm: Vm, duration: number): void {
    const { now } = this.#time;
    if (vm.frozenUntil > now) return;
    vm.frozenUntil = now + duration;
    vm.resendDelay = this.#draw() * MAXIMUM_RESEND_DELAY;
    this.#time.after(duration, () => {
      vm.suspendedTime += duration;
      vm.resendDelay = 0;
    });
  }

  /** State of the links between a VM and all servers. */
  #serverLinks(vm: number): ServerLinks {
    if (this.#isActive("vm.cut_from_servers", vm)) return "silent";
    if (this.#isActive("vm.servers_one_way", vm)) return "one_way";
    if (this.#isActive("vm.servers_reset", vm)) return "reset";
    return this.#isActive("vm.servers_refuse", vm) ? "refused" : "open";
  }

  /** Applies the start of a fault of a VM's links to all servers, and its end. */
  #cutFromServers({ index, connections }: Vm, duration: number): void {
    const { load } = this.#report;
    if (this.#serverLinks(index) === "reset") connections.clear();
    load?.serverLinksChanged(index);
    this.#time.after(duration, () => load?.serverLinksChanged(index));
  }

  /** Result of a probe of an address over links in a state. */
  #probe(address: string, links: ServerLinks): ProbeResult {
    if (links === "refused") return "refused";
    if (links !== "open") return "silent";
    return this.#acceptsConnections(address) ? "connected" : "refused";
  }

  /** Whether a process listens at an address, or has not quite exited. */
  #acceptsConnections(address: string): boolean {
    const server = this.#processAt(address);
    if (server === undefined) return false;
    const { exitTime = 0 } = this.options;
    return server.isUp || this.#time.now < server.lostAt + exitTime;
  }

  #loseServer(server: ModelServer): void {
    if (!server.isUp) return;
    server.isUp = false;
    server.lostAt = this.#time.now;
    this.#report.serverCrashTimes.push(this.#time.now);
    this.#report.load?.serverLost(server.id);
    this.#time.after(ENTRY_LIFETIME, () => this.#deregister(server));
    this.#time.after(RETURN_TIME, () => {
      if (this.#processAt(server.address) !== server) return;
      this.#replacementCount += 1;
      const id = `run-${this.#replacementCount}`;
      const { now } = this.#time;
      const next = ModelServer.create(id, server.address, now);
      this.#servers.push(next);
      this.#register(next);
    });
  }

  /** Whether the registry contains another entry with the server's address. */
  #hasForeignEntry({ id, address }: ModelServer): boolean {
    return [...this.#entries.values()].some((each) =>
      each.address === address && each.id !== id
    );
  }

  /** Registers a copy of a server's entry under another id for `duration`. */
  #copyEntry(server: ModelServer, duration: number): void {
    const entry = this.#entries.get(server.id);
    if (entry === undefined) return;
    this.#copyCount += 1;
    const id = `copy-${this.#copyCount}`;
    this.#writeEntry(id, { ...entry, id, service: "not configured" });
    this.#time.after(duration, () => this.#writeEntry(id, null));
  }

  #faultName(kind: Fault["kind"], vm: Vm, server: ModelServer): string {
    if (kind.startsWith("vm.")) return `${kind}/${vm.index}`;
    return kind === "server.cut_from_vms" ? `${kind}/${server.address}` : kind;
  }

  #restart(vm: Vm): void {
    if (vm.isUp) return;
    vm.restart();
    this.#start(vm);
  }

  #addServer(): void {
    const number = this.#servers.length;
    const server = ModelServer.create(
      `server-${number}`,
      `address-${number}`,
      this.#time.now,
    );
    this.#servers.push(server);
    this.#register(server);
  }

  /**
   * Ends a server process and starts another one at its address, which
   * registers later.
   */
  #replace(server: ModelServer, id: string, duration: number): void {
    server.isUp = false;
    this.#time.after(duration % MAXIMUM_DOWNTIME, () => {
      const former = this.#processAt(server.address)!;
      former.isUp = false;
      if (former !== server) {
        this.#time.after(ENTRY_LIFETIME, () => this.#deregister(former));
      }
      const { now } = this.#time;
      const next = ModelServer.create(id, server.address, now);
      this.#servers.push(next);
      const delay = 100 + (duration * 7) % 800;
      this.#time.after(delay, () => {
        if (next.isUp) this.#register(next);
      });
    });
  }

  #register({ id, address, startedAt }: ModelServer): void {
    this.#writeEntry(id, {
      id,
      incarnation: 1 + Math.round(startedAt),
      service: SERVICE,
      address,
      availabilityZone: this.#zoneOf(Number(address.split("-")[1])),
      slots: 3,
      isDraining: false,
      warmUp: this.#warmUpLeft(startedAt),
    });
  }

  /**
   * Returns the remaining warm-up time of a process that started at
   * `startedAt`. Processes that exist from the start of the simulation are
   * warm.
   */
  #warmUpLeft(startedAt: number): number {
    const { duration } = this.options.load?.warmUp ?? { duration: 0 };
    const left = startedAt + duration - this.#time.now;
    return startedAt === 0 ? 0 : Math.max(0, left);
  }

  #isCold(id: string): boolean {
    const found = this.#servers.findLast((each) => each.id === id);
    if (found === undefined) return false;
    const { startedAt, becameColdAt } = found;
    return this.#warmUpLeft(Math.max(startedAt, becameColdAt)) > 0;
  }

  /**
   * Makes the servers of a zone cold again. Their entries show it after the next
   * heartbeat.
   */
  #coolServers(zone: string): void {
    const { now } = this.#time;
    for (const server of this.#servers) {
      const entry = this.#entries.get(server.id);
      if (entry?.availabilityZone !== zone) continue;
      server.becameColdAt = now;
      if (this.options.load?.warmUp === undefined) continue;
      this.#time.after(this.#draw() * HEARTBEAT_INTERVAL, () => {
        const current = this.#entries.get(server.id);
        if (current?.incarnation !== entry.incarnation) return;
        const warmUp = Math.round(this.#warmUpLeft(now));
        this.#writeEntry(server.id, { ...current, warmUp });
      });
    }
  }

  /** Removes the entry of a process unless a later one has the same id. */
  #deregister(server: ModelServer): void {
    const newest = this.#servers.findLast(({ id }) => id === server.id);
    if (newest === server) this.#writeEntry(server.id, null);
  }

  #reachesStore(vm: Vm): boolean {
    return !this.#isActive("store.down") &&
      !this.#isActive("vm.cut_from_store", vm.index);
  }

  #isActive(kind: Fault["kind"], target?: number | string): boolean {
    const name = target === undefined ? kind : `${kind}/${target}`;
    return (this.#activeUntil.get(name) ?? -1) > this.#time.now;
  }
}

/**
 * Returns the sequence number of the claims of a VM's process; its writes use
 * the numbers after it. By this number the store distinguishes a claim from the
 * claims of other processes.
 */
function firstSequence({ index, restartCount }: Vm): number {
  return SEQUENCES_PER_PROCESS * (1 + index + MAXIMUM_VMS * restartCount);
}

/**
 * Makes a holder's message report that the store has just answered the holder.
 */
function hideStoreSilence(message: PeerMessage): void {
  if (message.kind === "holder.alive") message.storeSilence = 0;
}

/** Removes the era from a message, as in those of older versions. */
function hideEra(message: PeerMessage): void {
  delete message.era;
  if (message.evacuation !== undefined) delete message.evacuation.era;
}
