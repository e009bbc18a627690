import test from "ava";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import { backendServer } from "../../../test/support/backend_server.ts";
import fc from "fast-check";
import { Catalog, configurationSchema } from "../catalog/index.ts";
import { Fleet } from "../fleet/index.ts";
import { KeyDirectory, KeyLimits } from "../keyspace/index.ts";
import {
  CrashWatch,
  type PermitAnswer,
  Quarantine,
  RunPermits,
} from "../quarantine/index.ts";
import { RateTokens, type TokenAnswer } from "../rates/index.ts";
import type { DispatchEffect } from "./dispatch_effect.ts";
import { ColdAdmission } from "./cold_admission.ts";
import { Dispatcher } from "./dispatcher.ts";
import type { AttemptOutcome } from "./request.ts";

/** A dispatcher with a keyed and two other services, two servers each. */
function createDispatcher(
  vms: number | null = 8,
  draw = () => 0,
  keyRefused = () => {},
  permitAnswer = (): PermitAnswer | null => ({ isGranted: true, left: 2_000 }),
  tokenAnswer = (): TokenAnswer | null => null,
) {
  const catalog = Catalog.create();
  const route = (name: string, isIdempotent: boolean, service: string) => ({
    name,
    host: "h.example",
    pathPrefix: `/${name}/`,
    isIdempotent,
    destinations: [{ service, weight: 1 }],
    timeout: 500,
    targetLatency: 200,
    maximumAttempts: 2,
    priority: 0,
  });
  catalog.apply(configurationSchema.parse({
    version: 1,
    services: ["stock", "orders", "reads"].map((name) => ({
      name,
      maximumConnections: 10,
      isKeyed: name === "stock",
    })),
    limits: {
      maximumHeaderBytes: 1_000,
      maximumBodyBytes: 1_000,
      headerTimeout: 1_000,
      idleTimeout: 1_000,
    },
    routes: [
      route("lookup", true, "stock"),
      route("order", false, "orders"),
      route("read", true, "reads"),
    ],
  }));
  const fleet = Fleet.create();
  const servers = ["stock", "orders", "reads"].flatMap((service) =>
    ["1", "2"].map((
      number,
    ) =>
      backendServer(`${service}-${number}`, {
        service,
        address: `${service}-${number}:1`,
        slots: 1,
      })
    )
  );
  fleet.apply(servers, [], 0);
  const directory = KeyDirectory.create();
  const assign = (version: number, isOpen: boolean, server = "stock-1") =>
    directory.apply({
      service: "stock",
      term: 1,
      version,
      ranges: [{
        first: 0,
        last: 65_535,
        server,
        address: `${server}:1`,
        isOpen,
      }],
    });
  assign(1, true);
  const keyLimits = KeyLimits.create();
  const quarantine = Quarantine.create();
  const crashes = CrashWatch.create(quarantine, () => {});
  const permits = RunPermits.create({
    ask: () => permitAnswer(),
    giveBack: () => {},
  });
  const tokens = RateTokens.create(
    { ask: () => tokenAnswer() },
    () => vms,
    draw,
  );
  const dispatcher = Dispatcher.create({
    catalog,
    fleet,
    directory,
    keyLimits,
    quarantine,
    crashes,
    permits,
    cold: ColdAdmission.create(catalog, () => vms, draw),
    tokens,
    availabilityZone: "a",
    retryLimits: { ratio: 0.2, windowSeconds: 10, minimum: 50 },
    startedAt: () => -Infinity,
    vms: () => vms,
    keyRefused,
    rateLimitChanged: () => {},
    draw,
  });
  let exchange = 0;
  const arrive = (path: string, now: number, timeout = 1_000) => {
    exchange += 1;
    return dispatcher.arrive({
      exchange,
      id: `r-${exchange}`,
      host: "h.example",
      target: path,
      timeout,
      key: 7,
      fingerprint: fingerprintOf(path),
    }, now);
  };
  return {
    dispatcher,
    fleet,
    servers,
    tokens,
    arrive,
    assign,
    keyLimits,
    quarantine,
  };
}

const ANSWERED: AttemptOutcome & { kind: "answered" } = {
  kind: "answered",
  status: 200,
  isGenuine: true,
  isNotRun: false,
  server: null,
  load: null,
};
const NOT_RUN = { ...ANSWERED, status: 503, isGenuine: false, isNotRun: true };
const SPOILT = { ...ANSWERED, isGenuine: false };
const LOST: AttemptOutcome = { kind: "failed", wasSent: true, cause: "reset" };
const NOT_SENT: AttemptOutcome = {
  kind: "failed",
  wasSent: false,
  cause: "refused",
};

/** Time for which a request rests whose server broke off, in milliseconds. */
const BREAK_PAUSE = 30;

/** What effects do, in short. */
function brief(effects: readonly DispatchEffect[]): string[] {
  return effects.flatMap((effect) => {
    switch (effect.kind) {
      case "attempt.start":
        return [`start ${effect.server}, ${effect.remaining} ms left`];
      case "attempt.cancel":
        return ["cancel"];
      case "request.deliver":
        return ["deliver"];
      case "request.refuse":
        return [
          `${effect.status}, ${effect.reason}, come back ${effect.retryAfter}`,
        ];
      case "server.check":
      case "note":
        return [];
    }
  });
}

const OUTCOMES = { ANSWERED, NOT_RUN, SPOILT, LOST, NOT_SENT } as const;

for (const path of ["/order/", "/read/", "/lookup/"]) {
  test(`dispatch: what follows each outcome of ${path}`, (t) => {
    const follow = (outcome: AttemptOutcome) => {
      const { dispatcher, arrive } = createDispatcher();
      arrive(path, 0);
      const first = dispatcher.ended(1, outcome, 10);
      return {
        first: brief(first),
        then: brief(dispatcher.advance(45)),
        again: brief(dispatcher.ended(2, outcome, 50)),
      };
    };
    t.snapshot(
      Object.fromEntries(
        Object.entries(OUTCOMES).map(([name, each]) => [name, follow(each)]),
      ),
    );
  });
}

const NO_HOLDER = { ...NOT_RUN, status: 421 };

/**
 * A keyed service got 734 arrivals beyond the first of each request in 10 s where
 * 695 were allowed: requests went to one server each 32 ms and were answered 421
 * each time. The log of one VM showed the same server and the same version of the
 * assignments in all attempts of a request; the pause after a 421 was 30 ms
 * whatever was known, and the list of tried servers, which bounds attempts, was
 * emptied by each.
 */
for (
  const [who, outcome] of [
    ["a server that refuses a key for 2 s", NO_HOLDER],
    ["the address of a key's server, where another one refuses,", {
      ...NO_HOLDER,
      server: "another",
    }],
  ] as const
) {
  test(`dispatch: ${who} is asked ever less often while no other is known`, (t) => {
    let outdated = 0;
    const { dispatcher, arrive } = createDispatcher(
      8,
      () => 0,
      () => outdated += 1,
    );
    const arrivals: number[] = [];
    const perRequest = new Map<number, number>();
    const answers: { attempt: number; at: number }[] = [];
    const refusals: number[] = [];
    const take = (effects: readonly DispatchEffect[], now: number) => {
      for (const effect of effects) {
        if (effect.kind === "request.refuse") refusals.push(effect.status);
        if (effect.kind !== "attempt.start") continue;
        const { exchange, attempt } = effect;
        arrivals.push(now);
        perRequest.set(exchange, (perRequest.get(exchange) ?? 0) + 1);
        answers.push({ attempt, at: now + 2 });
      }
    };
    for (let now = 0; now < 2_200; now += 1) {
      if (answers[0]?.at === now) {
        const { attempt } = answers.shift()!;
        take(dispatcher.ended(attempt, outcome, now), now);
      }
      if (now < 2_000 && now % 10 === 0) take(arrive("/lookup/", now), now);
      take(dispatcher.advance(now), now);
    }
    // 30, 60, 120 and then 240 ms apart.
    t.true(arrivals.length <= 12, `${arrivals.length} arrivals`);
    t.true(Math.max(...perRequest.values()) <= 3);
    t.is(dispatcher.pending, 0);
    t.deepEqual([...new Set(refusals)], [503]);
    t.is(outdated, arrivals.length, "the term holder is asked");
  });
}

test("dispatch: a refused request goes to the key's next server at once", (t) => {
  const { dispatcher, arrive, assign } = createDispatcher();
  arrive("/lookup/", 0);
  t.deepEqual(brief(dispatcher.ended(1, NO_HOLDER, 10)), []);
  assign(2, true, "stock-2");
  t.deepEqual(brief(dispatcher.advance(12)), ["start stock-2, 488 ms left"]);
});

test("dispatch: an answer of the server ends its doubt for all that wait", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/lookup/", 0);
  dispatcher.ended(1, NO_HOLDER, 10);
  t.deepEqual(brief(arrive("/lookup/", 20)), [], "not into the same refusal");
  t.deepEqual(brief(dispatcher.advance(39)), []);
  t.is(brief(dispatcher.advance(40)).length, 1);
  const rest = brief(dispatcher.ended(2, ANSWERED, 45));
  t.deepEqual(rest, ["deliver", "start stock-1, 475 ms left"]);
});

test("dispatch: a key's server that fails is not asked without end", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/lookup/", 0);
  let sent = 1;
  for (let attempt = 1; attempt <= sent; attempt++) {
    const now = 100 * attempt;
    const effects = [
      ...dispatcher.ended(attempt, LOST, now),
      ...dispatcher.advance(now + BREAK_PAUSE),
    ];
    sent += effects.filter((each) => each.kind === "attempt.start").length;
  }
  t.is(sent, 3);
});

test("dispatch: a server that broke off is not asked again until its end could be seen", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/lookup/", 0);
  t.deepEqual(brief(dispatcher.ended(1, LOST, 10)), []);
  t.deepEqual(brief(dispatcher.advance(10 + BREAK_PAUSE - 1)), []);
  t.is(dispatcher.nextAt(), 10 + BREAK_PAUSE);
  const again = brief(dispatcher.advance(10 + BREAK_PAUSE));
  t.deepEqual(again, ["start stock-1, 460 ms left"]);
});

for (const path of ["/order/", "/read/", "/lookup/"]) {
  test(`dispatch: after an end under it a request runs alone: ${path}`, (t) => {
    let answer: PermitAnswer | null = { isGranted: true, left: 2_000 };
    const { arrive, quarantine } = createDispatcher(
      8,
      () => 0,
      () => {},
      () => answer,
    );
    quarantine.accuse(fingerprintOf(path).whole, path, "s#1", 0);
    t.is(arrive(path, 10)[0].kind, "attempt.start");
    // Another copy at this VM, and one for which the answer is denied.
    t.regex(brief(arrive(path, 20))[0], /^503, .* another copy of it runs/);
    answer = { isGranted: false, left: 500 };
    const other = createDispatcher(8, () => 0, () => {}, () => answer);
    other.quarantine.accuse(fingerprintOf(path).whole, path, "s#1", 0);
    t.regex(
      brief(other.arrive(path, 10))[0],
      /^503, .* another copy of it runs/,
    );
  });
}

test("dispatch: a zone that is evacuated gets nothing, and callers are told at once", (t) => {
  const { arrive, fleet, servers } = createDispatcher();
  const other = { ...servers[4], availabilityZone: "left" };
  fleet.apply([other], [], 0);
  const zone = servers[5].availabilityZone;
  fleet.evacuate({ evacuated: [zone], restored: [] }, 0);
  t.deepEqual(brief(arrive("/read/", 1)), ["start reads-1, 500 ms left"]);
  // All servers of this one are there.
  t.regex(brief(arrive("/order/", 1))[0], /^503, all servers .* are leaving/);
  fleet.evacuate({ evacuated: [], restored: [zone] }, 2_000);
  t.is(brief(arrive("/order/", 2_001)).length, 1);
});

test("dispatch: keys of an evacuated zone are served there only while they move", (t) => {
  const { arrive, fleet, servers } = createDispatcher();
  const zone = servers[0].availabilityZone;
  fleet.evacuate({ evacuated: [zone], restored: [] }, 0);
  t.deepEqual(brief(arrive("/lookup/", 3_000)), ["start stock-1, 500 ms left"]);
  const late = arrive("/lookup/", 3_300);
  t.false(late.some(({ kind }) => kind === "attempt.start"));
});

test("dispatch: a permit that nobody answers for holds a request for a moment only", (t) => {
  const { dispatcher, arrive, quarantine } = createDispatcher(
    8,
    () => 0,
    () => {},
    () => null,
  );
  quarantine.accuse(fingerprintOf("/read/").whole, "/read/", "s#1", 0);
  t.deepEqual(brief(arrive("/read/", 0)), []);
  let answers: string[] = [];
  let now = 0;
  for (let look = 0; look < 10 && answers.length === 0; look++) {
    now = dispatcher.nextAt();
    answers = brief(dispatcher.advance(now));
  }
  t.regex(answers[0], /^503, /);
  t.is(now, 250);
  t.is(dispatcher.pending, 0);
});

test("dispatch: each arrival after a request's first is taken from the budget", (t) => {
  const { dispatcher, arrive, fleet, servers } = createDispatcher();
  const spare = (number: number) => ({
    ...servers[2],
    id: `orders-${number}`,
    address: `orders-${number}:1`,
  });
  fleet.apply(Array.from({ length: 60 }, (_, i) => spare(i + 3)), [], 0);
  let attempt = 0;
  let beyondFirst = 0;
  for (let i = 0; i < 20; i++) {
    let arrived = 0;
    let starts = arrive("/order/", i * 100).length;
    // Refused, then not sent, then refused again, as long as it goes on.
    for (const outcome of [NOT_RUN, NOT_SENT, NOT_RUN, NOT_RUN]) {
      if (starts === 0) break;
      attempt += 1;
      if (outcome === NOT_RUN) arrived += 1;
      const effects = dispatcher.ended(attempt, outcome, i * 100 + 1);
      starts = effects.filter((each) => each.kind === "attempt.start").length;
    }
    beyondFirst += Math.max(0, arrived - 1);
  }
  // Three quarters of a fifth of 20 requests and of 50 shared by eight VMs.
  t.true(beyondFirst <= 7, `${beyondFirst}`);
});

test("dispatch: whatever follows what, arrivals beyond each request's first keep to this VM's part of the budget", (t) => {
  const outcomes = {
    ANSWERED,
    NOT_RUN,
    NO_HOLDER,
    SPOILT,
    LOST,
    NOT_SENT,
    FAILED: { ...ANSWERED, status: 500 },
  };
  const names = Object.keys(outcomes) as (keyof typeof outcomes)[];
  const step = fc.record({
    gap: fc.integer({ min: 0, max: 60 }),
    path: fc.constantFrom("/order/", "/read/", "/lookup/"),
    outcomes: fc.array(fc.constantFrom(...names), { maxLength: 4 }),
    server: fc.constantFrom(null, "stock-1", "stock-2"),
  });
  const steps = fc.array(step, { minLength: 100, maxLength: 400 });
  let most = 0;
  fc.assert(
    fc.property(steps, (plan) => {
      const { dispatcher, arrive, assign } = createDispatcher();
      const requests: { at: number; service: string }[] = [];
      const starts = new Map<number, { at: number; exchange: number }>();
      const running: number[] = [];
      const take = (effects: readonly DispatchEffect[], at: number) => {
        for (const effect of effects) {
          if (effect.kind !== "attempt.start") continue;
          const { attempt, exchange } = effect;
          starts.set(attempt, { at, exchange });
          running.push(attempt);
        }
      };
      let now = 0;
      let version = 1;
      for (const { gap, path, outcomes: ends, server } of plan) {
        now += gap;
        take(dispatcher.advance(now), now);
        if (server !== null) assign(version += 1, true, server);
        requests.push({ at: now, service: path });
        take(arrive(path, now), now);
        for (const name of ends) {
          const attempt = running.shift();
          if (attempt === undefined) break;
          if (name === "NOT_SENT") starts.delete(attempt);
          take(dispatcher.ended(attempt, outcomes[name], now), now);
        }
      }
      const seen = new Set<number>();
      const repeats: { at: number; service: string }[] = [];
      for (const { at, exchange } of starts.values()) {
        const { service } = requests[exchange - 1];
        if (seen.has(exchange)) repeats.push({ at, service });
        seen.add(exchange);
      }
      const within = (
        list: { at: number; service: string }[],
        end: { at: number; service: string },
      ) =>
        list.filter((each) =>
          each.service === end.service && each.at > end.at - 10_000 &&
          each.at <= end.at
        ).length;
      for (const each of repeats) {
        const taken = within(repeats, each);
        const allowed = 0.2 * within(requests, each) + 50 / 8;
        most = Math.max(most, taken);
        if (taken > allowed) throw new Error(`${taken} of ${allowed}`);
      }
    }),
    { numRuns: 100, seed: 5 },
  );
  // The property is not kept for want of repeats.
  t.true(most > 10, `${most}`);
});

test("dispatch: work that may have run is answered 502 and never repeated", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  t.is(brief(arrive("/order/", 0)).length, 1);
  t.deepEqual(brief(dispatcher.ended(1, LOST, 10)), [
    "502, reset, come back null",
  ]);
  t.is(dispatcher.pending, 0);
});

test("dispatch: few retries while the number of VMs is unknown", (t) => {
  const { dispatcher, arrive } = createDispatcher(null);
  arrive("/order/", 0);
  t.snapshot(brief(dispatcher.ended(1, NOT_RUN, 10)));
});

test("dispatch: a request waits for room for a while, then is refused", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  for (let i = 0; i < 2; i++) arrive("/order/", 0);
  t.deepEqual(brief(arrive("/order/", 0)), []);
  t.deepEqual(brief(dispatcher.advance(43)), []);
  t.snapshot(brief(dispatcher.advance(44)));
});

test("dispatch: room goes to the request that has waited", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  for (let i = 0; i < 3; i++) arrive("/order/", 0);
  t.snapshot(brief(dispatcher.ended(1, ANSWERED, 20)));
});

test("dispatch: a key on the move is waited for", (t) => {
  const { dispatcher, arrive, assign } = createDispatcher();
  assign(2, false);
  t.deepEqual(brief(arrive("/lookup/", 0)), []);
  assign(3, true);
  t.snapshot(brief(dispatcher.advance(20)));
});

test("dispatch: a key that stays on the move is waited for while its answer can be in time", (t) => {
  const { dispatcher, arrive, assign } = createDispatcher();
  assign(2, false);
  arrive("/lookup/", 0);
  t.deepEqual(brief(dispatcher.advance(119)), []);
  t.is(brief(dispatcher.advance(120)).length, 1);
  t.is(dispatcher.pending, 0);
});

test("dispatch: a first attempt that is refused early comes back within the target, a second one later", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  const retryAfter = (effects: readonly DispatchEffect[]) =>
    effects.flatMap((each) =>
      each.kind === "request.refuse" ? [each.retryAfter] : []
    );
  arrive("/order/", 0, 1_000);
  // 200 ms are the target, 20 have passed.
  t.deepEqual(retryAfter(dispatcher.ended(1, NOT_RUN, 20)), []);
  t.deepEqual(retryAfter(dispatcher.ended(2, NOT_RUN, 30)), [85]);
  arrive("/order/", 200, 800);
  dispatcher.ended(3, NOT_RUN, 220);
  t.deepEqual(retryAfter(dispatcher.ended(4, NOT_RUN, 230)), [231]);
});

test("dispatch: nothing goes to a server that is leaving", (t) => {
  const { fleet, servers, arrive } = createDispatcher();
  const leaving = servers.filter((each) => each.service === "reads")
    .map((each) => ({ ...each, isDraining: each.id === "reads-1" }));
  fleet.apply(leaving, [], 0);
  for (let i = 0; i < 3; i++) {
    const text = brief(arrive("/read/", i)).join();
    t.false(text.includes("reads-1"), text);
  }
});

test("dispatch: a silent server's idempotent request is tried elsewhere", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/read/", 0);
  t.deepEqual(brief(dispatcher.advance(99)), []);
  t.snapshot({
    hedged: brief(dispatcher.advance(100)),
    answered: brief(dispatcher.ended(2, ANSWERED, 150)),
  });
});

test("dispatch: a caller that leaves ends its attempts", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/read/", 0);
  t.deepEqual(brief(dispatcher.leave(1, 10)), ["cancel"]);
  t.is(dispatcher.pending, 0);
});

test("dispatch: without an answer a request ends just after its deadline", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/order/", 0);
  t.is(dispatcher.nextAt(), 560);
  t.deepEqual(brief(dispatcher.advance(559)), []);
  t.snapshot(brief(dispatcher.advance(560)));
});

test("dispatch: 404 only where a configuration is known", (t) => {
  const { arrive } = createDispatcher();
  t.snapshot(brief(arrive("/nowhere/", 0)));
  const quarantine = Quarantine.create();
  const catalog = Catalog.create();
  const unconfigured = Dispatcher.create({
    catalog,
    fleet: Fleet.create(),
    directory: KeyDirectory.create(),
    keyLimits: KeyLimits.create(),
    quarantine,
    crashes: CrashWatch.create(quarantine, () => {}),
    permits: RunPermits.create({ ask: () => null, giveBack: () => {} }),
    cold: ColdAdmission.create(catalog, () => null, () => 0),
    tokens: RateTokens.create({ ask: () => null }, () => null, () => 0),
    availabilityZone: "a",
    retryLimits: { ratio: 0.2, windowSeconds: 10, minimum: 50 },
    startedAt: () => -Infinity,
    vms: () => null,
    keyRefused: () => {},
    rateLimitChanged: () => {},
    draw: () => 0,
  });
  const arrival = {
    exchange: 1,
    id: "r",
    host: "h",
    target: "/",
    timeout: 100,
    key: null,
    fingerprint: fingerprintOf("/"),
  };
  t.snapshot(brief(unconfigured.arrive(arrival, 0)));
});

test("dispatch: what a key's server has no room for is refused at once, to come back late", (t) => {
  const { arrive, keyLimits } = createDispatcher(200, () => 0.5);
  const limit = { service: "stock", first: 0, last: 65_535 };
  keyLimits.take([{ ...limit, share: 0.4 }], 0);
  const [refusal] = brief(arrive("/lookup/", 10));
  // A third of the time left at most, less the spread of returns.
  t.is(
    refusal,
    "503, the key is asked for more than its server can do, come back 255",
  );
  keyLimits.take([{ ...limit, share: 0.6 }], 20);
  t.deepEqual(brief(arrive("/lookup/", 30)), ["start stock-1, 500 ms left"]);
  // Another service's requests go where they went.
  t.is(brief(arrive("/read/", 40)).length, 1);
});

test("dispatch: what this VM hears of a server's load goes before the limits on its keys", (t) => {
  const { dispatcher, arrive, keyLimits } = createDispatcher(200, () => 0.5);
  arrive("/lookup/", 0);
  const load = { running: 0, waiting: 0, slots: 1 };
  dispatcher.ended(1, { ...ANSWERED, load }, 50);
  const limit = { service: "stock", first: 0, last: 65_535, share: 0.1 };
  keyLimits.take([limit], 60);
  t.deepEqual(brief(arrive("/lookup/", 100)), ["start stock-1, 500 ms left"]);
});

/** Convicts requests for a path; from 1,000 ms on they are held back. */
function convict(quarantine: Quarantine, path: string): void {
  for (const run of ["a#1", "b#1", "c#1"]) {
    quarantine.accuse(fingerprintOf(path).whole, path, run, 0);
  }
}

for (const path of ["/order/", "/read/", "/lookup/"]) {
  test(`dispatch: of ${path} what is held back is refused at once, and nothing else`, (t) => {
    const { arrive, quarantine } = createDispatcher();
    convict(quarantine, `${path}ends`);
    t.deepEqual(brief(arrive(`${path}ends`, 1_000)), [
      "429, backend servers have ended under this request, come back 119000",
    ]);
    t.is(brief(arrive(`${path}other`, 1_000)).length, 1);
  });
}

test("dispatch: a request that waits is refused once it is held back", (t) => {
  const { dispatcher, arrive, quarantine } = createDispatcher();
  for (let i = 0; i < 8; i++) arrive("/order/", 990);
  t.deepEqual(brief(arrive("/order/ends", 995)), []);
  convict(quarantine, "/order/ends");
  const [refusal] = brief(dispatcher.advance(1_005));
  t.regex(refusal ?? "", /^429/);
});

test("dispatch: a request that has run is not said to be not run when it is held back", (t) => {
  const { dispatcher, arrive, quarantine } = createDispatcher();
  arrive("/read/ends", 990);
  convict(quarantine, "/read/ends");
  t.deepEqual(brief(dispatcher.ended(1, LOST, 1_000)), [
    "502, reset, come back null",
  ]);
});

test("dispatch: once two servers ended under it, a request is not sent again unasked", (t) => {
  const { dispatcher, arrive, quarantine } = createDispatcher();
  for (const run of ["a#1", "b#1"]) {
    quarantine.accuse(fingerprintOf("/read/ends").whole, "", run, 0);
  }
  arrive("/read/ends", 1_000);
  t.deepEqual(brief(dispatcher.ended(1, LOST, 1_010)), [
    "502, reset, come back null",
  ]);
});

test("dispatch: an answer clears a request, a failure of its server does not", (t) => {
  for (const [status, ends] of [[200, 0], [404, 0], [500, 1], [504, 1]]) {
    const { dispatcher, arrive, quarantine } = createDispatcher();
    quarantine.accuse(fingerprintOf("/order/x").whole, "", "a#1", 0);
    arrive("/order/x", 10);
    dispatcher.ended(1, { ...ANSWERED, status }, 20);
    t.is(quarantine.ends(fingerprintOf("/order/x")), ends);
  }
});

test("dispatch: a broken attempt has its server looked at, a refused one has not", (t) => {
  const looks = (outcome: AttemptOutcome) => {
    const { dispatcher, arrive } = createDispatcher();
    arrive("/order/", 0);
    return dispatcher.ended(1, outcome, 10)
      .filter(({ kind }) => kind === "server.check").length;
  };
  t.deepEqual([LOST, SPOILT, NOT_SENT, NOT_RUN, ANSWERED].map(looks), [
    1,
    1,
    0,
    0,
    0,
  ]);
});

test("dispatch: where the clock may be ahead, a server at work is waited for and no other asked", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/read/", 0);
  dispatcher.doubtTime(3_000);
  t.deepEqual(brief(dispatcher.advance(3_100)), []);
  t.deepEqual(brief(dispatcher.ended(1, LOST, 3_120)), [
    "502, reset, come back null",
  ]);
  arrive("/read/", 3_200);
  dispatcher.doubtTime(3_000);
  t.deepEqual(brief(dispatcher.advance(6_750)), []);
  t.regex(brief(dispatcher.advance(6_770)).join(), /^cancel,504/);
});

test("dispatch: a keyed request beyond its server's rate limit is refused at once with a late retry", (t) => {
  const denied = () => ({ isGranted: false, left: 200 });
  const { arrive, fleet } = createDispatcher(
    8,
    () => 0.5,
    undefined,
    undefined,
    denied,
  );
  fleet.get("stock-1")!.rate.answered(2, 0, 0);
  const [refusal] = brief(arrive("/lookup/", 10));
  t.regex(
    refusal,
    /^503, the key's server limits its requests, come back 2\d\d/,
  );
});

test("dispatch: requests without keys go to servers below their rate limits", (t) => {
  const denied = () => ({ isGranted: false, left: 200 });
  const { arrive, fleet, dispatcher } = createDispatcher(
    8,
    () => 0.5,
    undefined,
    undefined,
    denied,
  );
  fleet.get("orders-1")!.rate.answered(2, 0, 0);
  t.deepEqual(brief(arrive("/order/", 10)), ["start orders-2, 500 ms left"]);
  fleet.get("reads-1")!.rate.answered(2, 0, 11);
  fleet.get("reads-2")!.rate.answered(2, 0, 11);
  const effects = [...arrive("/read/", 12), ...dispatcher.advance(13)];
  t.regex(
    brief(effects)[0],
    /^503, all servers of the service limit their requests/,
  );
});

test("dispatch: a waiting request is sent once its token is granted", (t) => {
  const { arrive, fleet, dispatcher, tokens } = createDispatcher();
  fleet.get("stock-1")!.rate.answered(2, 0, 0);
  t.deepEqual(brief(arrive("/lookup/", 10)), []);
  tokens.told("stock-1", { isGranted: true, left: 0 }, 13);
  t.deepEqual(brief(dispatcher.advance(13)), ["start stock-1, 497 ms left"]);
});
