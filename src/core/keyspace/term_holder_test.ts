import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { Fleet } from "../fleet/index.ts";
import { KEY_COUNT } from "./assignment.ts";
import { KeyLoads } from "./key_load.ts";
import type { KeyspaceEffect } from "./keyspace_effect.ts";
import { leaseTimingSchema } from "./lease_timing.ts";
import { TermHolder } from "./term_holder.ts";

/**
 * Describes an effect in short: the order or move, its servers and its keys.
 */
function summarize(effect: KeyspaceEffect): string {
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

/**
 * Creates a term holder with two servers, of which `a` is recorded for all keys
 * and should release half of them.
 */
function createHolder() {
  const fleet = Fleet.create();
  const entries = ["a", "b"].map((id) =>
    backendServer(id, { availabilityZone: "z" })
  );
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
    holder.advance(["s"], now, Infinity, storeSilence, true);
  const accept = (effects: KeyspaceEffect[], now: number) => {
    for (const effect of effects) {
      if (!("order" in effect)) continue;
      holder.onOrderEnded(
        effect.order,
        { kind: "accepted", handover: "h" },
        now,
      );
    }
  };
  /** Runs a move until its first release is answered, at 400 ms. */
  const startMove = (): string[] => {
    const effects: KeyspaceEffect[] = [];
    for (const now of [0, 20, 350]) {
      const stepEffects = advance(now, 0);
      accept(stepEffects.filter(({ kind }) => kind === "order.grant"), now + 5);
      effects.push(...stepEffects);
    }
    const release = advance(360, 0);
    effects.push(...release);
    accept(release, 400);
    return effects.map(summarize);
  };
  return { holder, fleet, advance, accept, startMove };
}

test("term holder: a move continues once the store has answered after the release", (t) => {
  const { holder, advance, startMove } = createHolder();
  const before = startMove();
  t.true(holder.isAwaitingStore);
  t.deepEqual(advance(402, 50), []);
  t.snapshot({ before, after: advance(410, 5).map(summarize) });
  t.false(holder.isAwaitingStore);
});

test("term holder: keys that are released during a store outage return to their server", (t) => {
  const { advance, accept, startMove } = createHolder();
  startMove();
  t.deepEqual(advance(500, 200), []);
  const regrants = advance(520, 220);
  t.snapshot(regrants.map(summarize));
  accept(regrants, 525);
  // No second attempt while the store may still be slow.
  const kinds = [900, 1_300, 2_500].flatMap((now) =>
    advance(now, 10).map(({ kind }) => kind)
  );
  t.false(kinds.includes("keys.move"));
});

test("term holder: released keys do not return to a server that is leaving", (t) => {
  const { fleet, advance, startMove } = createHolder();
  startMove();
  const leaving = { ...fleet.get("a")!.entry, isDraining: true };
  fleet.apply([leaving], [], 450);
  t.snapshot(advance(520, 220).map(summarize));
});

// Guards against closing keys for load balance while a new term holder has
// incomplete load data.
test("term holder: a new holder moves no keys before its servers have accepted grants", (t) => {
  const fleet = Fleet.create();
  fleet.apply(["a", "b"].map((id) => backendServer(id)), [], 0);
  const ranges = Array.from({ length: 32 }, (_, i) => {
    const first = i * KEY_COUNT / 32;
    const last = first + KEY_COUNT / 32 - 1;
    return { first, last, server: "a", address: "a:1", isOpen: true };
  });
  let orders = 0;
  const holder = TermHolder.create(
    2,
    [{ service: "s", term: 1, version: 1, ranges }],
    leaseTimingSchema.parse({}),
    fleet,
    KeyLoads.create(),
    () => orders += 1,
    1_000,
  );
  const moveTimes: number[] = [];
  const acceptTimes: number[] = [];
  for (let now = 1_000; now < 2_000 && moveTimes.length === 0; now += 10) {
    for (const effect of holder.advance(["s"], now, Infinity, 0, true)) {
      if (effect.kind === "keys.move") moveTimes.push(now);
      if (effect.kind !== "order.grant") continue;
      holder.onOrderEnded(
        effect.order,
        { kind: "accepted", handover: null },
        now,
      );
      acceptTimes.push(now);
    }
  }
  t.is(acceptTimes.filter((now) => now < moveTimes[0]).length, ranges.length);
});

/**
 * Runs until `end` and returns the state of the first range after each step.
 * The orders of the first step are accepted; each later order to server `a`
 * fails after 500 ms without an answer.
 */
function runWithUnansweredOrders(
  { holder, advance }: ReturnType<typeof createHolder>,
  end: number,
  onStep: (now: number) => void,
): string[] {
  const states: string[] = [];
  const unanswered: { order: number; at: number }[] = [];
  for (let now = 0; now <= end; now += 50) {
    onStep(now);
    // The store has not answered for so long that no moves for load balance
    // start.
    for (const effect of advance(now, 800)) {
      if (!("order" in effect)) continue;
      if (effect.server === "a" && now > 0) {
        unanswered.push({ order: effect.order, at: now + 500 });
      } else {
        const outcome = { kind: "accepted", handover: null } as const;
        holder.onOrderEnded(effect.order, outcome, now + 5);
      }
    }
    while (unanswered.length > 0 && unanswered[0].at <= now) {
      const { order } = unanswered.shift()!;
      holder.onOrderEnded(order, { kind: "failed", cause: "no answer" }, now);
    }
    states.push(holder.ranges("s")[0].state);
  }
  return states;
}

test("term holder: a server that answers neither orders nor callers loses its keys after two orders", (t) => {
  const context = createHolder();
  const states = runWithUnansweredOrders(context, 2_000, () => {});
  t.true(states.includes("expiring"));
});

test("term holder: an overloaded server that answers callers keeps its keys during its lease", (t) => {
  const context = createHolder();
  const server = context.fleet.get("a")!;
  const samples = { mean: 100, count: 1 };
  const states = runWithUnansweredOrders(
    context,
    2_000,
    (now) => server.addPeerSamples(samples, "vm-1", now),
  );
  t.false(states.includes("expiring"));
});

test("term holder: the first assignment of keys waits until no more servers join", (t) => {
  const entry = (id: string) => backendServer(id, { availabilityZone: "z" });
  const createEmptyHolder = () => {
    const fleet = Fleet.create();
    const loads = KeyLoads.create();
    const timing = leaseTimingSchema.parse({});
    const next = () => 1;
    const holder = TermHolder.create(1, [], timing, fleet, loads, next, 0);
    const hasEffects = (now: number) =>
      holder.advance(["s"], now, Infinity, 0, true).length > 0;
    return { fleet, loads, hasEffects };
  };
  const idle = createEmptyHolder();
  idle.fleet.apply([entry("a")], [], 0);
  t.false(idle.hasEffects(500));
  idle.fleet.apply([entry("b")], [], 600);
  t.false(idle.hasEffects(1_400));
  t.true(idle.hasEffects(1_600));
  const requested = createEmptyHolder();
  requested.fleet.apply([entry("a")], [], 0);
  requested.loads.of("s").record(7, 100);
  t.true(requested.hasEffects(110));
});

test("term holder: each renewal has a new token above all earlier ones", (t) => {
  const { advance, accept } = createHolder();
  const tokens: number[] = [];
  for (let now = 0; now < 3_000; now += 50) {
    const effects = advance(now, 800);
    for (const effect of effects) {
      if ("token" in effect) tokens.push(effect.token);
    }
    accept(effects, now + 5);
  }
  t.true(tokens.length >= 5, `${tokens.length}`);
  t.deepEqual(tokens, [...new Set(tokens)].sort((a, b) => a - b));
});

test("term holder: keys are freed at once if another server answers at the address", (t) => {
  const { holder, advance } = createHolder();
  const [grant] = advance(0, 0);
  if (!("order" in grant)) throw new Error("no order");
  holder.onOrderEnded(grant.order, { kind: "misdirected" }, 5);
  t.is(holder.ranges("s")[0].state, "vacant");
  // Its entry is still listed, but it gets no more keys.
  t.deepEqual(advance(10, 0).map(({ kind }) => kind), ["assignments.write"]);
  t.true(holder.ranges("s").every(({ server }) => server === "b"));
});

test("term holder: a server that is listed at a new address keeps its keys", (t) => {
  const { holder, fleet, advance } = createHolder();
  const [grant] = advance(0, 0);
  if (!("order" in grant)) throw new Error("no order");
  fleet.apply([{ ...fleet.get("a")!.entry, address: "a:2" }], [], 3);
  holder.onOrderEnded(grant.order, { kind: "misdirected" }, 5);
  t.is(holder.ranges("s")[0].server, "a");
});

test("term holder: a restarted server is granted its keys at once", (t) => {
  const { fleet, advance, accept } = createHolder();
  accept(advance(0, 800), 5);
  const restart = (incarnation: number, now: number) =>
    fleet.apply([{ ...fleet.get("a")!.entry, incarnation }], [], now);
  // The first known incarnation does not indicate a restart.
  restart(7, 10);
  t.deepEqual(advance(20, 800), []);
  accept(advance(610, 800), 615);
  restart(9, 620);
  const renewal = advance(630, 800);
  t.deepEqual(renewal.map(summarize), [`order.grant a 0..${KEY_COUNT - 1}`]);
  accept(renewal, 635);
  t.deepEqual(advance(640, 800), []);
});

test("term holder: keys of an expiring lease return to their server after its restart", (t) => {
  const { holder, fleet, advance } = createHolder();
  const entry = { ...fleet.get("a")!.entry, incarnation: 7 };
  fleet.apply([entry], [], 0);
  for (const now of [0, 700]) {
    const [grant] = advance(now, 800);
    if (!("order" in grant)) throw new Error("no order");
    const failed = { kind: "failed", cause: "no answer" } as const;
    holder.onOrderEnded(grant.order, failed, now + 500);
  }
  advance(1_210, 800);
  t.is(holder.ranges("s")[0].state, "expiring");
  t.deepEqual(advance(1_250, 800), []);
  fleet.apply([{ ...entry, incarnation: 9 }], [], 1_300);
  const regrants = advance(1_310, 800);
  t.deepEqual(regrants.map(summarize), [`order.grant a 0..${KEY_COUNT - 1}`]);
});

test("term holder: another server's entry at the address is verified before keys are freed", (t) => {
  const expireWithReusedAddress = () => {
    const context = createHolder();
    const { holder, fleet, advance } = context;
    for (const now of [0, 700]) {
      const [grant] = advance(now, 800);
      if (!("order" in grant)) throw new Error("no order");
      const failed = { kind: "failed", cause: "no answer" } as const;
      holder.onOrderEnded(grant.order, failed, now + 500);
    }
    advance(1_210, 800);
    fleet.apply([{ ...fleet.get("a")!.entry, id: "other" }], [], 1_400);
    const [probe] = advance(1_410, 800);
    t.is(summarize(probe), `order.release a 0..${KEY_COUNT - 1}`);
    const answer = (kind: "accepted" | "misdirected" | "failed") => {
      if (!("order" in probe)) throw new Error("no order");
      const fields = { handover: null, cause: "" };
      holder.onOrderEnded(probe.order, { kind, ...fields }, 1_420);
      return holder.ranges("s")[0].state;
    };
    return { ...context, answer };
  };
  t.is(expireWithReusedAddress().answer("misdirected"), "vacant");
  const unanswered = expireWithReusedAddress();
  t.is(unanswered.answer("failed"), "expiring");
  t.deepEqual(unanswered.advance(1_430, 800), []);
  const alive = expireWithReusedAddress();
  t.is(alive.answer("accepted"), "assigned");
  const regrants = alive.advance(1_430, 800);
  t.deepEqual(regrants.map(summarize), [`order.grant a 0..${KEY_COUNT - 1}`]);
});

test("term holder: due orders are sent in batches, the oldest first, until none is due", (t) => {
  const servers = Array.from({ length: 50 }, (_, i) => `i-${i}`);
  const fleet = Fleet.create();
  fleet.apply(servers.map((id) => backendServer(id)), [], 0);
  const size = 100;
  const ranges = Array.from({ length: 300 }, (_, i) => {
    const server = servers[i % servers.length];
    const first = i * size;
    const last = i === 299 ? KEY_COUNT - 1 : first + size - 1;
    return { first, last, server, address: `${server}:1`, isOpen: true };
  });
  let count = 0;
  const holder = TermHolder.create(
    2,
    [{ service: "s", term: 1, version: 1, ranges }],
    leaseTimingSchema.parse({}),
    fleet,
    KeyLoads.create(),
    () => count += 1,
    0,
  );
  const granted = new Map<number, number>();
  let largest = 0;
  let now = 0;
  do {
    now += 1;
    const effects = holder.advance(["s"], now, Infinity, 800, true);
    const orders = effects.flatMap((each) =>
      each.kind === "order.grant" ? [each] : []
    );
    largest = Math.max(largest, orders.length);
    for (const { order, first } of orders) {
      granted.set(first, (granted.get(first) ?? 0) + 1);
      // No connection was opened in time, so the order has to be created again.
      const isWithheld = first < 30 * size && now < 100;
      const outcome = isWithheld
        ? { kind: "withheld" } as const
        : { kind: "accepted", handover: null } as const;
      holder.onOrderEnded(order, outcome, now);
    }
  } while (granted.size < ranges.length && now < 500);
  t.true(largest <= 16, `${largest} at once`);
  t.is(granted.size, ranges.length);
  t.true(now < 60, `all were ordered after ${now} steps`);
});
