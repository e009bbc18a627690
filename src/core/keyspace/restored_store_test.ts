/**
 * Tests of a term that begins after the store has returned from a copy.
 *
 * @module
 */
import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { Fleet } from "../fleet/index.ts";
import { KEY_COUNT, type RecordedAssignment } from "./assignment.ts";
import { KeyLoads } from "./key_load.ts";
import type { KeyspaceEffect, OrderOutcome } from "./keyspace_effect.ts";
import { leaseTimingSchema, predecessorGrantsEnd } from "./lease_timing.ts";
import { TermCampaign, type TermRecords } from "./term_campaign.ts";

const TIMING = leaseTimingSchema.parse({});
const SERVICE = "s";
const SERVERS = ["a", "b", "c", "d"];
const TOKENS_PER_TERM = 2 ** 28;

/** An assignment of a quarter of the keys to each server. */
function assignment(
  servers: readonly string[],
  era: number | null,
  term = 5,
): RecordedAssignment {
  const size = KEY_COUNT / servers.length;
  return {
    service: SERVICE,
    term,
    version: 1,
    era,
    ranges: servers.map((server, i) => ({
      first: i * size,
      last: (i + 1) * size - 1,
      server,
      address: `${server}:1`,
      isOpen: true,
    })),
  };
}

function recordsOf(overrides: Partial<TermRecords> = {}): TermRecords {
  return {
    term: 5,
    era: 1,
    isUnconfirmed: false,
    end: 9,
    assignments: [assignment(SERVERS, 1)],
    ...overrides,
  };
}

/** A VM in the election, in era 1 of the store. */
function createVm() {
  const fleet = Fleet.create();
  const entries = SERVERS.map((id) =>
    backendServer(id, { address: `${id}:1` })
  );
  fleet.apply(entries, [], 0);
  const campaign = TermCampaign.create(TIMING, fleet, KeyLoads.create(), 1);
  campaign.setInitialEra(1);
  campaign.onHolderRead();
  let generation = 1;
  const advance = (now: number) =>
    campaign.advance([SERVICE], now, 0, false, true);
  /** Answers membership calls until the VM reads the records. */
  const elect = (from: number): KeyspaceEffect[] => {
    generation += 1;
    for (let now = from; now < from + 2_000; now += 10) {
      const effects = advance(now);
      if (effects.some(({ kind }) => kind === "term.read")) return effects;
      const call = effects.find(({ kind }) => kind === "group.join");
      if (call?.kind !== "group.join") continue;
      const { group } = call;
      const isElected = group === "electorate";
      campaign.onJoined({ generation, group, isElected, sentAt: now }, now + 4);
    }
    throw new Error("was not elected");
  };
  /** Reads `records`; returns the claim. */
  const claim = (records: TermRecords, now: number) => {
    const [effect] = campaign.onRecordsRead(records, now);
    if (effect?.kind !== "term.claim") throw new Error("no claim");
    return effect;
  };
  /** Holds a term from the given records on. */
  const lead = (records: TermRecords, from: number): number => {
    elect(from);
    const { term } = claim(records, from + 200);
    campaign.onClaimed(term, "done", from + 210);
    return term;
  };
  /** Answers the orders among `effects`; returns their descriptions. */
  const answer = (
    effects: readonly KeyspaceEffect[],
    outcomeOf: (server: string) => OrderOutcome,
    now: number,
  ): string[] =>
    effects.flatMap((effect) => {
      const isOrder = effect.kind === "order.grant" ||
        effect.kind === "order.release";
      if (!isOrder) return [];
      campaign.onOrderEnded(effect.order, outcomeOf(effect.server), now);
      const term = Math.floor(effect.token / TOKENS_PER_TERM);
      const connects = effect.mayConnect ? ", may connect" : "";
      return [`${effect.kind} ${effect.server} term ${term}${connects}`];
    });
  return { campaign, advance, elect, claim, lead, answer };
}

const ACCEPTED: OrderOutcome = { kind: "accepted", handover: null };
const FAILED: OrderOutcome = { kind: "failed", cause: "no answer" };

test("restored store, term: records of the current era are continued", (t) => {
  const { campaign, advance, lead, answer } = createVm();
  t.is(lead(recordsOf(), 0), 6);
  t.is(campaign.phase, "leading");
  t.is(answer(advance(220), () => ACCEPTED, 225).length, 4);
});

for (
  const [name, era, term] of [
    ["one era", 1, 5 + 1 + 4_096],
    ["three eras", 3, 5 + 1 + 3 * 4_096],
    ["very many eras", 900, 5 + 1 + 64 * 4_096],
  ] as const
) {
  // Guards against tokens that fall below those of terms that the store lost.
  test(`restored store, term: it is above all terms that ${name} may have lost`, (t) => {
    const { campaign, elect, claim } = createVm();
    campaign.storeRestored(1 + era, 10);
    elect(20);
    const effect = claim(recordsOf(), 300);
    t.is(effect.term, term);
    t.is(effect.era, 1 + era);
    t.true(effect.isUnconfirmed);
  });
}

test("restored store, term: it is above a term that peers know", (t) => {
  const { campaign, elect, claim } = createVm();
  campaign.observeTerm(50_000);
  campaign.storeRestored(2, 10);
  elect(20);
  t.is(claim(recordsOf(), 300).term, 50_001);
});

test("restored store, term: a process that starts later distrusts records of an earlier era", (t) => {
  const { campaign, advance, elect, claim } = createVm();
  campaign.setInitialEra(2);
  elect(0);
  const { term } = claim(recordsOf(), 300);
  t.is(term, 5 + 1 + 4_096);
  campaign.onClaimed(term, "done", 310);
  t.is(campaign.phase, "adopting");
  t.true(campaign.needsConfirmation);
  const end = predecessorGrantsEnd(310, TIMING);
  const orders: string[] = [];
  for (let now = 320; now < end; now += 50) {
    campaign.onJoined(
      { generation: 9, group: "electorate", isElected: true, sentAt: now },
      now,
    );
    orders.push(
      ...advance(now).map(({ kind }) => kind).filter((kind) =>
        kind.startsWith("order")
      ),
    );
  }
  t.deepEqual(orders, []);
});

test("restored store, term: without records, a store that has returned before is not taken for a new one", (t) => {
  const isUnconfirmed = (era: number) => {
    const { campaign, elect, claim } = createVm();
    campaign.setInitialEra(era);
    elect(0);
    const empty = { term: 0, era: null, assignments: [] };
    return claim(recordsOf(empty), 300).isUnconfirmed;
  };
  t.false(isUnconfirmed(1));
  t.true(isUnconfirmed(2));
});

test("restored store, term: records of older versions are trusted until the store returns", (t) => {
  const old = recordsOf({
    era: null,
    assignments: [assignment(SERVERS, null)],
  });
  const unaware = createVm();
  unaware.elect(0);
  t.is(unaware.claim(old, 300).term, 6);
  const aware = createVm();
  aware.campaign.storeRestored(2, 10);
  aware.elect(20);
  t.is(aware.claim(old, 300).term, 5 + 1 + 4_096);
});

/** A holder whose servers have accepted its grants, after the store's return. */
function createFormerHolder() {
  const vm = createVm();
  const term = vm.lead(recordsOf(), 0);
  for (const now of [220, 240]) {
    vm.answer(vm.advance(now), () => ACCEPTED, now + 5);
  }
  vm.campaign.storeRestored(2, 500);
  return { ...vm, term };
}

test("restored store, former holder: it renews its grants under its own term over open connections", (t) => {
  const { campaign, advance, answer } = createFormerHolder();
  t.is(campaign.holder, null);
  const orders = answer(advance(510), () => ACCEPTED, 515);
  t.deepEqual(orders.sort(), SERVERS.map((id) => `order.grant ${id} term 6`));
  // It sends nothing more.
  t.deepEqual(answer(advance(1_200), () => ACCEPTED, 1_205), []);
});

test("restored store, former holder: it yields all ranges if half of the servers accept", (t) => {
  const { campaign, advance, answer, term } = createFormerHolder();
  answer(advance(510), (id) => id < "c" ? ACCEPTED : FAILED, 515);
  campaign.confirmFor("b:1", 9_000, term);
  const { toTerm, confirmed } = campaign.takeYield(520)!;
  t.is(toTerm, 9_000);
  t.deepEqual(
    confirmed.map(({ server, isHeld }) => [server, isHeld]),
    [["a", true], ["b", true], ["c", false], ["d", false]],
  );
  t.is(campaign.takeYield(530), null);
});

test("restored store, former holder: it yields only the confirmed ranges if fewer accept", (t) => {
  const { campaign, advance, answer, term } = createFormerHolder();
  answer(advance(510), (id) => id < "b" ? ACCEPTED : FAILED, 515);
  campaign.confirmFor("b:1", 9_000, term);
  const { confirmed } = campaign.takeYield(520)!;
  t.deepEqual(confirmed.map(({ server }) => server), ["a"]);
});

test("restored store, former holder: it yields once no order is unanswered", (t) => {
  const { campaign, advance, answer, term } = createFormerHolder();
  const effects = advance(510);
  campaign.confirmFor("b:1", 9_000, term);
  t.is(campaign.takeYield(511), null);
  answer(effects, () => ACCEPTED, 515);
  t.not(campaign.takeYield(516), null);
});

// Guards against a former holder that another VM has replaced in a term that
// the store has lost.
test("restored store, former holder: it yields nothing if a server has seen a newer token", (t) => {
  const { campaign, advance, answer, term } = createFormerHolder();
  const outcome = (id: string): OrderOutcome =>
    id === "c" ? { kind: "superseded" } : ACCEPTED;
  answer(advance(510), outcome, 515);
  campaign.confirmFor("b:1", 9_000, term);
  t.is(campaign.takeYield(520), null);
});

test("restored store, former holder: it confirms nothing once a successor may assign its keys", (t) => {
  const { campaign, advance, answer, term } = createFormerHolder();
  answer(advance(510), () => ACCEPTED, 515);
  const end = predecessorGrantsEnd(0, TIMING) + 500;
  advance(end);
  campaign.confirmFor("b:1", 9_000, term);
  t.is(campaign.takeYield(end + 1), null);
});

test("restored store, former holder: elected again, it continues without a move", (t) => {
  const { campaign, advance, answer, elect, claim } = createFormerHolder();
  answer(advance(510), () => ACCEPTED, 515);
  campaign.onJoinFailed(516);
  elect(520);
  const stale = assignment(["d", "c", "b", "a"], 1);
  const { term } = claim(recordsOf({ assignments: [stale] }), 900);
  campaign.onClaimed(term, "done", 905);
  t.is(campaign.phase, "leading");
  const assigned = campaign.holder!.assignments[0].ranges;
  t.deepEqual(assigned.map(({ server }) => server), SERVERS);
  t.true(assigned.every(({ isOpen }) => isOpen));
  const effects = advance(910);
  const write = effects.find(({ kind }) => kind === "assignments.write");
  t.like(write, { term, assignments: [{ service: SERVICE, era: 2 }] });
  t.is(answer(effects, () => ACCEPTED, 915).length, 4);
});

// Guards against a server that the former holder does not reach, and that
// another term holder, whose term the store has lost, has granted its keys.
test("restored store, successor: keys whose server has not confirmed them do not move before all leases have ended", (t) => {
  const { campaign, advance, answer, term } = createSuccessor();
  const confirmed = [{
    service: SERVICE,
    first: 0,
    last: KEY_COUNT - 1,
    server: "a",
    address: "a:1",
    incarnation: 0,
    isHeld: false,
    remaining: 0,
  }];
  campaign.termYielded(term, [], confirmed, 330);
  const end = predecessorGrantsEnd(310, TIMING);
  const servers = new Set<string>();
  for (let now = 340; now < end; now += 50) {
    const sentAt = now;
    campaign.onJoined(
      { generation: 9, group: "electorate", isElected: true, sentAt },
      now,
    );
    answer(advance(now), () => FAILED, now + 5);
    campaign.onWritten(term, "done", now + 5);
    for (const { server } of campaign.holder!.ranges(SERVICE)) {
      servers.add(server!);
    }
  }
  t.deepEqual([...servers], ["a"]);
});

/** A VM that has claimed a term and waits for the former holder. */
function createSuccessor() {
  const vm = createVm();
  vm.campaign.observeTerm(6);
  vm.campaign.storeRestored(2, 10);
  vm.elect(20);
  const { term } = vm.claim(recordsOf(), 300);
  vm.campaign.onClaimed(term, "done", 310, [assignment(SERVERS, null, 6)]);
  return { ...vm, term };
}

test("restored store, successor: it continues what the former holder has confirmed", (t) => {
  const { campaign, advance, answer, term } = createSuccessor();
  t.is(campaign.phase, "adopting");
  t.deepEqual(answer(advance(320), () => ACCEPTED, 325), []);
  const half = KEY_COUNT / 2;
  const confirmed = [
    { first: 0, last: half - 1, server: "c" },
    { first: half, last: KEY_COUNT - 1, server: "d" },
  ].map((each) => ({
    ...each,
    service: SERVICE,
    address: `${each.server}:1`,
    incarnation: 0,
    isHeld: true,
    remaining: 900,
  }));
  campaign.termYielded(term, [], confirmed, 330);
  t.is(campaign.phase, "leading");
  t.false(campaign.needsConfirmation);
  const orders = answer(advance(340), () => ACCEPTED, 345);
  t.deepEqual(
    [...new Set(orders)].sort(),
    ["c", "d"].map((id) => `order.grant ${id} term ${term}, may connect`),
  );
});

test("restored store, successor: a yield without confirmed ranges, as of older versions, frees nothing", (t) => {
  const { campaign, advance, answer, term } = createSuccessor();
  const all = { service: SERVICE, first: 0, last: KEY_COUNT - 1, remaining: 0 };
  campaign.termYielded(term, [all], [], 330);
  t.is(campaign.phase, "leading");
  t.true(campaign.needsConfirmation);
  t.deepEqual(answer(advance(340), () => ACCEPTED, 345), []);
});

test("restored store, successor: it records unconfirmed keys as those of an unknown server", (t) => {
  const { campaign, advance, term } = createSuccessor();
  campaign.termYielded(term, [], [], 330);
  const write = advance(340).find(({ kind }) => kind === "assignments.write");
  if (write?.kind !== "assignments.write") throw new Error("no write");
  const { ranges } = write.assignments[0];
  t.true(ranges.every(({ server, isOpen }) => server === "" && !isOpen));
  // Requests still go to the last known servers, which may hold the keys.
  const published = campaign.holder!.assignments[0].ranges;
  t.deepEqual(published.map(({ server }) => server), SERVERS);
});

test("restored store, successor: keys return to their servers when all leases have ended", (t) => {
  const { campaign, advance, answer, term } = createSuccessor();
  const end = predecessorGrantsEnd(310, TIMING);
  const confirm = (sentAt: number) =>
    campaign.onJoined(
      { generation: 9, group: "electorate", isElected: true, sentAt },
      sentAt,
    );
  for (let now = 320; now < end; now += 300) {
    confirm(now);
    answer(advance(now), () => ACCEPTED, now);
    campaign.onWritten(term, "done", now);
  }
  confirm(end);
  advance(end);
  campaign.onWritten(term, "done", end + 5);
  const orders = answer(advance(end + 10), () => ACCEPTED, end + 15);
  t.deepEqual(
    orders.sort(),
    SERVERS.map((id) => `order.grant ${id} term ${term}, may connect`),
  );
});

// Guards against a term holder that assigns keys before its predecessor can
// learn from the servers that there is a newer term.
test("term holder: keys are assigned once more than half of the recorded servers have answered", (t) => {
  const { campaign, advance, lead, answer } = createVm();
  lead(recordsOf(), 0);
  const ended: OrderOutcome = { kind: "misdirected" };
  const outcomes = (answered: string) => (id: string) =>
    id === "a" ? ended : id <= answered ? ACCEPTED : FAILED;
  answer(advance(220), outcomes("b"), 225);
  advance(230);
  t.is(campaign.holder!.ranges(SERVICE)[0].state, "vacant");
  answer(advance(400), outcomes("c"), 405);
  advance(410);
  t.is(campaign.holder!.ranges(SERVICE)[0].state, "assigned");
});
