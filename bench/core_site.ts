/**
 * One real core among many members that are only imitated: what the core says
 * and hears is encoded and decoded as on the wire, but no socket is involved.
 *
 * @module
 */
import { encodeFrame, FrameDecoder } from "../src/adapters/frame.ts";
import {
  type Configuration,
  configurationSchema,
  DEFAULT_TIMING,
  type Effect,
  type Event,
  type LogEntry,
  type LogRecord,
  MAXIMUM_WITNESSES,
  type Member,
  type Message,
  messageSchema,
  PowerOfTwoChoices,
  Router,
  type View,
} from "../src/core/index.ts";

/** How large the imitated site is. */
export interface SiteSize {
  vms: number;
  /** Keyed backend servers. */
  servers: number;
  /** Slots of the one keyed service. */
  slots: number;
}

/** What the core did. */
export interface SiteTraffic {
  messagesIn: number;
  messagesOut: number;
  bytesIn: number;
  bytesOut: number;
}

/** The part that the core plays. */
export type Role = "holder" | "witness" | "member";

/**
 * Bytes of TCP and IP headers for one message: 52 for its own packet, and 26 for
 * its share of the one packet that acknowledges a question and its answer.
 */
export const PACKET_OVERHEAD = 78;
/** Milliseconds between ticks, as in an entry process. */
const TICK = 20;
/** Members that are witnesses, at the most. */
const WITNESSES = MAXIMUM_WITNESSES;
const SELF = 0;

/** See the module's comment. */
export class CoreSite {
  readonly router: Router;
  readonly traffic: SiteTraffic = {
    messagesIn: 0,
    messagesOut: 0,
    bytesIn: 0,
    bytesOut: 0,
  };
  /** Effects that are neither messages nor appends, as they come. */
  onEffect: (effect: Effect) => void = () => {};
  readonly #members: Member[];
  readonly #decoder = FrameDecoder.create();
  #log: LogEntry[] = [];
  #offset = 0;
  #now = 0;
  #position = { term: 0, version: 0 };
  #sequence = 0;
  #lastMessage: Message | null = null;
  #lastLength = 0;
  #grants: Event[] = [];

  private constructor(readonly size: SiteSize, readonly role: Role) {
    this.router = Router.create({
      cluster: "bench",
      site: "site",
      vm: "vm-0",
      availabilityZone: "zone-0",
      peerAddress: "vm-0",
      seeds: [],
      nonce: "vm-0",
      seed: 1,
      clockOrigin: 0,
      startedAt: 0,
      hash: () => 0,
      timing: { ...DEFAULT_TIMING, memberTimeout: 1e9 },
      checkpointInterval: 1e9,
      balancer: PowerOfTwoChoices.create(),
    });
    this.#members = Array.from({ length: size.vms }, (_, index) => ({
      vm: `vm-${index}`,
      incarnation: 0,
      availabilityZone: `zone-${index % 5}`,
      peerAddress: `vm-${index}`,
      startedAt: 0,
    }));
  }

  /** A site in which the core has taken up its role. */
  static create(size: SiteSize, role: Role): CoreSite {
    const site = new CoreSite(size, role);
    site.#settle();
    return site;
  }

  /** Virtual milliseconds since the start. */
  get now(): number {
    return this.#now;
  }

  /** Lets `milliseconds` pass in which all members renew their leases. */
  run(milliseconds: number): void {
    const end = this.#now + milliseconds;
    const { renewal } = DEFAULT_TIMING;
    while (this.#now < end) {
      const before = this.#now;
      this.#now += TICK;
      this.step({ kind: "clock.ticked", now: this.#now });
      for (const event of this.#grants.splice(0)) this.step(event);
      for (const [index, member] of this.#members.entries()) {
        if (index === SELF || !this.#isAskedBy()) continue;
        // Members renew at moments of their own, spread over the interval.
        const moment = index / this.#members.length * renewal;
        const turns = (time: number) => Math.floor((time - moment) / renewal);
        if (turns(this.#now) > turns(before)) this.#renew(member);
      }
    }
  }

  /** Gives the core an event and answers what it says. */
  step(event: Event): void {
    for (const effect of this.router.step(event)) this.#run(effect);
  }

  /** Appends a record and lets the core read it. */
  append(record: LogRecord): void {
    this.#offset += 1;
    this.#log.push({ offset: this.#offset, data: record });
    this.step({
      kind: "log.read",
      now: this.#now,
      entries: this.#log.splice(0),
      first: 1,
      next: this.#offset + 1,
    });
  }

  /** A configuration with the site's servers. */
  configuration(): Configuration {
    return siteConfiguration(this.size);
  }

  #isAskedBy(): boolean {
    return this.role !== "member";
  }

  #settle(): void {
    this.append({
      kind: "configuration.published",
      id: "first",
      operator: "bench",
      basedOn: 0,
      publishedAt: 0,
      configuration: this.configuration(),
    });
    for (const member of this.#members) {
      member.incarnation = this.#offset + 1;
      this.append({
        kind: "vm.started",
        site: "site",
        vm: member.vm,
        availabilityZone: member.availabilityZone,
        peerAddress: member.peerAddress,
        startedAt: member.startedAt,
        nonce: member.vm === "vm-0" ? "vm-0.0" : member.vm,
      });
    }
    if (this.role === "holder") this.#becomeHolder();
    else this.#followHolder();
  }

  #becomeHolder(): void {
    for (const member of this.#members.slice(1)) this.#renew(member);
    this.run(2_000);
    if (!this.router.status(this.#now).holds) throw new Error("no term");
  }

  #followHolder(): void {
    const witnesses = this.role === "witness"
      ? this.#members.slice(0, WITNESSES)
      : this.#members.slice(-WITNESSES);
    const holder = this.#members.at(-1)!;
    this.append({
      kind: "term.claimed",
      site: "site",
      vm: holder.vm,
      incarnation: holder.incarnation,
      basedOn: 0,
    });
    const term = this.#offset;
    for (const basedOn of [0, this.#offset + 1]) {
      this.append({
        kind: "membership.changed",
        site: "site",
        term,
        basedOn,
        members: this.#members,
        witnesses,
      });
    }
    this.#position = { term, version: 1 };
    this.#hear(holder, {
      kind: "view.sent",
      view: this.#view(witnesses),
    });
  }

  #view(witnesses: Member[]): View {
    const { slots, servers } = this.size;
    return {
      position: this.#position,
      membership: { offset: this.#offset, members: this.#members, witnesses },
      services: {
        keyed: Array.from({ length: slots }, (_, index) => ({
          server: `server-${index % servers}`,
          token: this.#position.term * 2 ** 20 + index,
        })),
      },
    };
  }

  #renew(member: Member): void {
    this.#sequence += 1;
    this.#hear(member, {
      kind: "renewal.asked",
      incarnation: member.incarnation,
      sequence: this.#sequence,
      adopted: this.#position,
      drained: this.#position,
    });
  }

  /** Gives the core a message as it comes over the wire. */
  #hear(from: Member, message: Message): void {
    const frame = encodeFrame(message);
    this.traffic.messagesIn += 1;
    this.traffic.bytesIn += frame.length;
    const [value] = this.#decoder.push(frame);
    this.step({
      kind: "peer.received",
      now: this.#now,
      from: from.vm,
      address: from.peerAddress,
      message: messageSchema.parse(value),
    });
  }

  #run(effect: Effect): void {
    switch (effect.kind) {
      case "peer.send":
        return this.#sent(effect.to, effect.message);
      case "log.append":
        if (effect.record.kind !== "vm.started") this.append(effect.record);
        return;
      case "server.grant":
        this.#grants.push({
          kind: "grant.ended",
          now: this.#now,
          service: effect.service,
          server: effect.server,
          slots: effect.slots,
          accepted: true,
          cause: "",
        });
        return;
      default:
        this.onEffect(effect);
    }
  }

  #sent(to: string, message: Message): void {
    this.traffic.messagesOut += 1;
    // One that goes to many is encoded once, as by the network.
    if (message !== this.#lastMessage) {
      this.#lastMessage = message;
      this.#lastLength = encodeFrame(message).length;
    }
    this.traffic.bytesOut += this.#lastLength;
    if (message.kind === "view.changed") this.#position = message.change.to;
    if (message.kind === "view.sent") this.#position = message.view.position;
    if (message.kind !== "renewal.asked") return;
    const member = this.#members.find((each) => each.vm === to)!;
    this.#hear(member, {
      kind: "renewal.answered",
      incarnation: member.incarnation,
      sequence: message.sequence,
      floor: message.adopted,
      adopted: message.adopted,
      member: true,
    });
  }
}

function siteConfiguration({ servers, slots }: SiteSize): Configuration {
  return configurationSchema.parse({
    base: {
      cluster: "bench",
      services: {
        keyed: {
          key: { header: "x-key" },
          keySlots: slots,
          checks: { token: true, lease: true },
          slots: 1_000,
          connections: 10_000,
        },
        plain: { slots: 1_000, connections: 10_000 },
      },
    },
    overlays: [{
      site: "site",
      availabilityZones: ["zone-0"],
      services: {
        keyed: { backendServers: listServers("server", servers) },
        plain: { backendServers: listServers("plain", servers) },
      },
    }],
  });
}

function listServers(name: string, count: number) {
  return Array.from({ length: count }, (_, index) => ({
    id: `${name}-${index}`,
    address: `10.${index >> 8}.0.${index & 0xff}:80`,
    availabilityZone: "zone-0",
  }));
}
