/**
 * Claims of request ids. Before non-idempotent work with an id that its caller
 * chose is sent to a server, the id is claimed at its *homes*: members chosen by
 * rendezvous hashing of the id. A majority of them must not know it, and none
 * may: a second claim of the same id, through whichever VM it comes, meets the
 * first at one of them.
 *
 * Homes keep claims in memory. Asked are the first three of all members and the
 * first three of those that have run for a whole window. A home that has just
 * started learns of new ids at once, but its answer counts only when it knows
 * all of the window, or when no three members do.
 *
 * @module
 */
import { majority, type Member } from "../membership/index.ts";
import type { Message } from "../message.ts";

/** Time for which ids are remembered at least, in milliseconds. */
export const CLAIM_WINDOW = 120_000;
/** Homes of each id. */
const HOMES = 3;
/** Time in which homes must answer, in milliseconds. */
const CLAIM_TIMEOUT = 150;
/** Most ids of one generation; more than these end it early. */
const MAXIMUM_IDS = 200_000;

/** What claims are made in. */
export interface ClaimContext {
  now: number;
  /** Milliseconds since the epoch, by this VM's clock. */
  wallTime: number;
  self: Member;
  members: readonly Member[];
  /** Hashes text to an unsigned number of 32 bits. */
  hash(text: string): number;
  send(to: Member, message: Message): void;
}

/** Whether an id may be used; `unclear` when too few homes have answered. */
export type ClaimResult = "new" | "known" | "unclear";

/** The end of a claim. */
export interface ClaimEnd {
  exchange: number;
  result: ClaimResult;
}

/** A claim that awaits answers. */
interface PendingClaim {
  id: string;
  owner: string;
  askedAt: number;
  homes: Member[];
  /** VMs that have yet to answer. */
  waitingFor: Set<string>;
  /** VMs whose answers count. */
  voters: Set<string>;
  /** How many of those do not know the id. */
  answers: number;
}

/** The members at which an id is claimed. */
interface Homes {
  asked: Member[];
  /** VMs of those of which a majority must answer. */
  voters: Set<string>;
}

/** See the module's comment. */
export class ClaimRegistry {
  #younger = new Map<string, string>();
  #older = new Map<string, string>();
  #turnedAt = 0;
  readonly #pending = new Map<number, PendingClaim>();
  /** Homes of the claims that this VM holds for requests under way. */
  readonly #held = new Map<number, PendingClaim>();

  private constructor() {}

  /** Remembers nothing yet. */
  static create(): ClaimRegistry {
    return new ClaimRegistry();
  }

  /** Claims an id; null when answers of other VMs are awaited. */
  claim(context: ClaimContext, exchange: number, id: string): ClaimEnd | null {
    const { self, now, members } = context;
    // Without a membership there is nobody to ask who else may have claimed it.
    if (members.length === 0) return { exchange, result: "unclear" };
    const owner = `${self.vm}#${self.incarnation}#${exchange}`;
    const { asked, voters } = homesOf(context, id);
    const others = asked.filter((home) => home.vm !== self.vm);
    // What this VM itself took in it also knows without being a home.
    const isNew = this.#remember(id, owner, now);
    if (!isNew) return { exchange, result: "known" };
    const claim: PendingClaim = {
      id,
      owner,
      askedAt: now,
      homes: others,
      waitingFor: new Set(others.map((home) => home.vm)),
      voters,
      answers: voters.has(self.vm) ? 1 : 0,
    };
    this.#held.set(exchange, claim);
    if (others.length === 0) return { exchange, result: "new" };
    this.#pending.set(exchange, claim);
    for (const home of others) {
      context.send(home, { kind: "claim.asked", exchange, id, owner });
    }
    return null;
  }

  /** A home's part: whether an id that another VM claims is new to it. */
  asked(id: string, owner: string, now: number): boolean {
    return this.#remember(id, owner, now);
  }

  /** A home has answered; returns the end of the claim if this was it. */
  answered(exchange: number, vm: string, isNew: boolean): ClaimEnd | null {
    const claim = this.#pending.get(exchange);
    if (claim === undefined || !claim.waitingFor.delete(vm)) return null;
    if (!isNew) {
      this.#pending.delete(exchange);
      return { exchange, result: "known" };
    }
    if (claim.voters.has(vm)) claim.answers += 1;
    if (claim.waitingFor.size > 0) return null;
    this.#pending.delete(exchange);
    return { exchange, result: "new" };
  }

  /** Ends the claims whose homes have not all answered in time. */
  expire(now: number): ClaimEnd[] {
    const ended: ClaimEnd[] = [];
    for (const [exchange, { askedAt, answers, voters }] of this.#pending) {
      if (now < askedAt + CLAIM_TIMEOUT) continue;
      this.#pending.delete(exchange);
      const isClear = answers >= majority(voters.size);
      ended.push({ exchange, result: isClear ? "new" : "unclear" });
    }
    return ended;
  }

  /** The request did not run: its id may be used again. */
  release(context: ClaimContext, exchange: number): void {
    const claim = this.#held.get(exchange);
    if (claim === undefined) return;
    const { id, owner } = claim;
    this.released(id, owner);
    for (const home of claim.homes) {
      context.send(home, { kind: "claim.released", id, owner });
    }
    this.forget(exchange);
  }

  /** A home's part of {@linkcode release}. */
  released(id: string, owner: string): void {
    for (const generation of [this.#younger, this.#older]) {
      if (generation.get(id) === owner) generation.delete(id);
    }
  }

  /** The request has its answer; its id stays used. */
  forget(exchange: number): void {
    this.#held.delete(exchange);
    this.#pending.delete(exchange);
  }

  #remember(id: string, owner: string, now: number): boolean {
    const known = this.#younger.get(id) ?? this.#older.get(id);
    if (known !== undefined) return known === owner;
    const isOld = now >= this.#turnedAt + CLAIM_WINDOW;
    if (isOld || this.#younger.size >= MAXIMUM_IDS) {
      this.#older = this.#younger;
      this.#younger = new Map();
      this.#turnedAt = now;
    }
    this.#younger.set(id, owner);
    return true;
  }
}

function homesOf(context: ClaimContext, id: string): Homes {
  const { members, wallTime, hash } = context;
  const ranked = members
    .map((member) => ({ member, rank: hash(`${member.vm}/${id}`) }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ member }) => member);
  const old = ranked.filter((member) =>
    wallTime - member.startedAt >= CLAIM_WINDOW
  );
  const first = ranked.slice(0, HOMES);
  const firstOld = old.slice(0, HOMES);
  const voters = firstOld.length === HOMES ? firstOld : first;
  return {
    asked: [...new Set([...first, ...firstOld])],
    voters: new Set(voters.map((member) => member.vm)),
  };
}
