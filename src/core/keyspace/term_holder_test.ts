import test from "ava";
import { Fleet } from "../fleet/index.ts";
import { KEY_COUNT } from "./assignment.ts";
import { KeyLoads } from "./key_load.ts";
import type { KeyspaceEffect } from "./keyspace_effect.ts";
import { leaseTimingSchema } from "./lease_timing.ts";
import { TermHolder } from "./term_holder.ts";

/** What an effect orders, of whom. */
function brief(effect: KeyspaceEffect): string {
  switch (effect.kind) {
    case "order.grant":
    case "order.release":
      return `${effect.kind} ${effect.server} ${effect.first}..${effect.last}`;
    case "keys.move":
      return `${effect.kind} ${effect.from} to ${effect.to}`;
    default:
      return effect.kind;
  }
}

/** A holder of two servers, of which `a` has all keys and is to give up half. */
function createHolder() {
  const fleet = Fleet.create();
  const entries = ["a", "b"].map((id) => ({
    id,
    incarnation: 0,
    service: "s",
    address: `${id}:1`,
    availabilityZone: "z",
    slots: 3,
    isDraining: false,
    warmUp: 0,
  }));
  fleet.apply(entries, [], 0);
  const all = { first: 0, last: KEY_COUNT - 1 };
  const recorded = [{
    service: "s",
    term: 1,
    version: 1,
    ranges: [{ ...all, server: "a", address: "a:1", isOpen: true }],
  }];
  const timing = leaseTimingSchema.parse({});
  let orders = 0;
  const holder = TermHolder.create(
    2,
    recorded,
    timing,
    fleet,
    KeyLoads.create(),
    () => orders += 1,
    0,
  );
  const advance = (now: number, storeSilence: number) =>
    holder.advance(["s"], now, Infinity, storeSilence);
  const accept = (effects: KeyspaceEffect[], now: number) => {
    for (const effect of effects) {
      if (!("order" in effect)) continue;
      holder.ordered(effect.order, { kind: "accepted", handover: "h" }, now);
    }
  };
  /** Until the first release of a move is answered, at 400. */
  const startMove = (): string[] => {
    const effects: KeyspaceEffect[] = [];
    for (const now of [0, 20, 350]) {
      const some = advance(now, 0);
      accept(some.filter(({ kind }) => kind === "order.grant"), now + 5);
      effects.push(...some);
    }
    const release = advance(360, 0);
    effects.push(...release);
    accept(release, 400);
    return effects.map(brief);
  };
  return { holder, fleet, advance, accept, startMove };
}

test("term holder: a move goes on once the store has answered after the release", (t) => {
  const { holder, advance, startMove } = createHolder();
  const before = startMove();
  t.true(holder.isStoreWanted);
  t.deepEqual(advance(402, 50), []);
  t.snapshot({ before, after: advance(410, 5).map(brief) });
  t.false(holder.isStoreWanted);
});

test("term holder: keys that an outage meets on their way go back to their server", (t) => {
  const { advance, accept, startMove } = createHolder();
  startMove();
  t.deepEqual(advance(500, 200), []);
  const back = advance(520, 220);
  t.snapshot(back.map(brief));
  accept(back, 525);
  // No second try while the store may still be slow.
  const kinds = [900, 1_300, 2_500].flatMap((now) =>
    advance(now, 10).map(({ kind }) => kind)
  );
  t.false(kinds.includes("keys.move"));
});

test("term holder: keys do not go back to a server that is leaving", (t) => {
  const { fleet, advance, startMove } = createHolder();
  startMove();
  const leaving = { ...fleet.get("a")!.entry, isDraining: true };
  fleet.apply([leaving], [], 450);
  t.snapshot(advance(520, 220).map(brief));
});

/** Until `end`, with every order of server a unanswered for 500 ms each. */
function leaveUnanswered(
  { holder, advance }: ReturnType<typeof createHolder>,
  end: number,
  look: (now: number) => void,
): string[] {
  const states: string[] = [];
  const open: { order: number; at: number }[] = [];
  for (let now = 0; now <= end; now += 50) {
    look(now);
    // The store's silence keeps keys from being moved for balance.
    for (const effect of advance(now, 800)) {
      if (!("order" in effect)) continue;
      if (effect.server === "a" && now > 0) {
        open.push({ order: effect.order, at: now + 500 });
      } else {
        const outcome = { kind: "accepted", handover: null } as const;
        holder.ordered(effect.order, outcome, now + 5);
      }
    }
    while (open.length > 0 && open[0].at <= now) {
      const { order } = open.shift()!;
      holder.ordered(order, { kind: "failed", cause: "no answer" }, now);
    }
    states.push(holder.ranges("s")[0].state);
  }
  return states;
}

test("term holder: a server that answers nobody loses its keys after two orders", (t) => {
  const world = createHolder();
  const states = leaveUnanswered(world, 2_000, () => {});
  t.true(states.includes("expiring"));
});

test("term holder: a full server that answers callers keeps its keys while its lease runs", (t) => {
  const world = createHolder();
  const server = world.fleet.get("a")!;
  const samples = { mean: 100, count: 1 };
  const states = leaveUnanswered(
    world,
    2_000,
    (now) => server.observe(samples, now),
  );
  t.false(states.includes("expiring"));
});

test("term holder: keys are given out for the first time once no more servers come", (t) => {
  const entry = (id: string) => ({
    id,
    incarnation: 0,
    service: "s",
    address: `${id}:1`,
    availabilityZone: "z",
    slots: 3,
    isDraining: false,
    warmUp: 0,
  });
  const begin = () => {
    const fleet = Fleet.create();
    const loads = KeyLoads.create();
    const timing = leaseTimingSchema.parse({});
    const next = () => 1;
    const holder = TermHolder.create(1, [], timing, fleet, loads, next, 0);
    const isBegun = (now: number) =>
      holder.advance(["s"], now, Infinity, 0).length > 0;
    return { fleet, loads, isBegun };
  };
  const quiet = begin();
  quiet.fleet.apply([entry("a")], [], 0);
  t.false(quiet.isBegun(500));
  quiet.fleet.apply([entry("b")], [], 600);
  t.false(quiet.isBegun(1_400));
  t.true(quiet.isBegun(1_600));
  const asked = begin();
  asked.fleet.apply([entry("a")], [], 0);
  asked.loads.of("s").record(7, 100);
  t.true(asked.isBegun(110));
});
