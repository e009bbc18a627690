import test from "ava";
import { AdmissionPolicy, DemandMeter } from "../admission/index.ts";
import { NO_FEATURES } from "../features.ts";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import { backendServer } from "../../../test/support/backend_server.ts";
import { serverStatement } from "../../../test/support/server_statement.ts";
import fc from "fast-check";
import { Catalog, configurationSchema } from "../catalog/index.ts";
import { Fleet } from "../fleet/index.ts";
import { KeyDirectory, KeyLimits } from "../keyspace/index.ts";
import {
  CrashDetector,
  type PermitAnswer,
  Quarantine,
  RunPermits,
} from "../quarantine/index.ts";
import { RateTokens, ServerLimits, type TokenAnswer } from "../rates/index.ts";
import { ServerPaths, ServerReach } from "../reach/index.ts";
import { ReturnPolicy } from "../returns/index.ts";
import type { DispatchEffect } from "./dispatch_effect.ts";
import { Dispatcher } from "./dispatcher.ts";
import type { AttemptOutcome } from "./request.ts";

/** Retries of all VMs that are permitted whatever the number of requests. */
const MINIMUM_RETRIES = 100;

/**
 * Creates a dispatcher with a keyed service, `stock`, and two others, `orders`
 * and `reads`, with two servers each. The keys are assigned to `stock-1`.
 */
function createDispatcher(
  vmCount: number | null = 8,
  draw = () => 0,
  keyRefused = () => {},
  permitAnswer = (): PermitAnswer | null => ({ isGranted: true, left: 2_000 }),
  tokenAnswer = (): TokenAnswer | null => null,
  windowSeconds = 10,
  features = NO_FEATURES,
  bodyBytesPerSlot = Infinity,
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
  const detector = CrashDetector.create(quarantine, () => {});
  const permits = RunPermits.create({
    requestPermit: () => permitAnswer(),
    release: () => {},
  });
  const tokens = RateTokens.create(
    ServerLimits.create(catalog),
    { requestToken: () => tokenAnswer() },
    () => vmCount,
    draw,
  );
  const paths = ServerPaths.create(ServerReach.create(fleet, draw));
  const admission = AdmissionPolicy.create();
  const returns = ReturnPolicy.create();
  const dispatcher = Dispatcher.create({
    catalog,
    fleet,
    directory,
    keyLimits,
    quarantine,
    detector,
    permits,
    paths,
    tokens,
    demand: DemandMeter.create(),
    returns,
    admission,
    features,
    bodyBytesPerSlot,
    availabilityZone: "a",
    retryLimits: { ratio: 0.2, windowSeconds, minimum: MINIMUM_RETRIES },
    startedAt: () => -Infinity,
    responsesEndAt: () => Infinity,
    vms: () => vmCount,
    minimumShare: () => vmCount === null ? 0 : 0.5 / vmCount,
    keyRefused,
    applyStatement: (server, statement, sentAt, now) =>
      void server.statements.apply(statement, sentAt, now),
    ignoreStatement: () => {},
    draw,
  });
  let exchange = 0;
  const arrive = (
    path: string,
    now: number,
    timeout = 1_000,
    bodyBytes = 0,
  ) => {
    exchange += 1;
    return dispatcher.requestArrived({
      exchange,
      id: `r-${exchange}`,
      host: "h.example",
      target: path,
      timeout,
      key: 7,
      fingerprint: fingerprintOf(path),
      bodyBytes,
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
    paths,
    admission,
    returns,
  };
}

const ANSWERED: AttemptOutcome & { kind: "answered" } = {
  kind: "answered",
  status: 200,
  isGenuine: true,
  isNotRun: false,
  server: null,
  statement: serverStatement(),
};
const NOT_RUN = { ...ANSWERED, status: 503, isGenuine: false, isNotRun: true };
const SPOILT = { ...ANSWERED, isGenuine: false };
const LOST: AttemptOutcome = {
  kind: "failed",
  mayHaveBeenSent: true,
  cause: "reset",
};
const NOT_SENT: AttemptOutcome = {
  kind: "failed",
  mayHaveBeenSent: false,
  cause: "refused",
};

/**
 * Delay before a request whose connection broke is sent again, in milliseconds.
 */
const BROKEN_ATTEMPT_DELAY = 30;

/** Summarizes effects, without log lines and server probes. */
function summarize(effects: readonly DispatchEffect[]): string[] {
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
  test(`dispatch: steps after each outcome for ${path}`, (t) => {
    const steps = (outcome: AttemptOutcome) => {
      const { dispatcher, arrive } = createDispatcher();
      arrive(path, 0);
      const first = dispatcher.attemptEnded(1, outcome, 10);
      return {
        first: summarize(first),
        then: summarize(dispatcher.advance(45)),
        again: summarize(dispatcher.attemptEnded(2, outcome, 50)),
      };
    };
    t.snapshot(
      Object.fromEntries(
        Object.entries(OUTCOMES).map(([name, each]) => [name, steps(each)]),
      ),
    );
  });
}

const MISDIRECTED = { ...NOT_RUN, status: 421 };

/**
 * Guards against retries at a fixed interval while a key's server refuses a
 * key. Each 421 response removed the server from the list of tried servers,
 * which limits attempts, and the retry delay was 30 ms even if the assignment
 * had not changed. The same requests were sent to the same server every 32 ms:
 * 734 retries in 10 s, where the retry budget permitted 695.
 */
for (
  const [description, outcome] of [
    ["a server that refuses a key", MISDIRECTED],
    ["an address where another server refuses a key", {
      ...MISDIRECTED,
      server: "another",
    }],
  ] as const
) {
  test(`dispatch: requests to ${description} back off while the assignment is unchanged`, (t) => {
    let keyRefusals = 0;
    const { dispatcher, arrive } = createDispatcher(
      8,
      () => 0,
      () => keyRefusals += 1,
    );
    const sentAt: number[] = [];
    const attemptsByExchange = new Map<number, number>();
    const responses: { attempt: number; at: number }[] = [];
    const refusals: number[] = [];
    const record = (effects: readonly DispatchEffect[], now: number) => {
      for (const effect of effects) {
        if (effect.kind === "request.refuse") refusals.push(effect.status);
        if (effect.kind !== "attempt.start") continue;
        const { exchange, attempt } = effect;
        sentAt.push(now);
        attemptsByExchange.set(
          exchange,
          (attemptsByExchange.get(exchange) ?? 0) + 1,
        );
        responses.push({ attempt, at: now + 2 });
      }
    };
    for (let now = 0; now < 2_200; now += 1) {
      if (responses[0]?.at === now) {
        const { attempt } = responses.shift()!;
        record(dispatcher.attemptEnded(attempt, outcome, now), now);
      }
      if (now < 2_000 && now % 10 === 0) record(arrive("/lookup/", now), now);
      record(dispatcher.advance(now), now);
    }
    // The intervals are 30, 60, 120 and then 240 ms.
    t.true(sentAt.length <= 12, `${sentAt.length} attempts`);
    t.true(Math.max(...attemptsByExchange.values()) <= 3);
    t.is(dispatcher.pending, 0);
    t.deepEqual([...new Set(refusals)], [503]);
    t.is(keyRefusals, sentAt.length, "each refusal of the key is reported");
  });
}

test("dispatch: a refused request is sent to the key's new server immediately", (t) => {
  const { dispatcher, arrive, assign } = createDispatcher();
  arrive("/lookup/", 0);
  t.deepEqual(summarize(dispatcher.attemptEnded(1, MISDIRECTED, 10)), []);
  assign(2, true, "stock-2");
  t.deepEqual(summarize(dispatcher.advance(12)), [
    "start stock-2, 488 ms left",
  ]);
});

test("dispatch: a response from the key's server ends the backoff for all waiting requests", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/lookup/", 0);
  dispatcher.attemptEnded(1, MISDIRECTED, 10);
  t.deepEqual(summarize(arrive("/lookup/", 20)), [], "sent during the backoff");
  t.deepEqual(summarize(dispatcher.advance(39)), []);
  t.is(summarize(dispatcher.advance(40)).length, 1);
  const rest = summarize(dispatcher.attemptEnded(2, ANSWERED, 45));
  t.deepEqual(rest, ["deliver", "start stock-1, 475 ms left"]);
});

test("dispatch: attempts at a key's server that fails are limited", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/lookup/", 0);
  let sent = 1;
  for (let attempt = 1; attempt <= sent; attempt++) {
    const now = 100 * attempt;
    const effects = [
      ...dispatcher.attemptEnded(attempt, LOST, now),
      ...dispatcher.advance(now + BROKEN_ATTEMPT_DELAY),
    ];
    sent += effects.filter((each) => each.kind === "attempt.start").length;
  }
  t.is(sent, 3);
});

test("dispatch: a retry after a broken connection waits for the probe of the server", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/lookup/", 0);
  t.deepEqual(summarize(dispatcher.attemptEnded(1, LOST, 10)), []);
  t.deepEqual(summarize(dispatcher.advance(10 + BROKEN_ATTEMPT_DELAY - 1)), []);
  t.is(dispatcher.nextAt(), 10 + BROKEN_ATTEMPT_DELAY);
  const again = summarize(dispatcher.advance(10 + BROKEN_ATTEMPT_DELAY));
  t.deepEqual(again, ["start stock-1, 460 ms left"]);
});

for (const path of ["/order/", "/read/", "/lookup/"]) {
  test(`dispatch: only one copy of a request that has crashed a server runs at a time: ${path}`, (t) => {
    let answer: PermitAnswer | null = { isGranted: true, left: 2_000 };
    const { arrive, quarantine } = createDispatcher(
      8,
      () => 0,
      () => {},
      () => answer,
    );
    quarantine.recordCrash(fingerprintOf(path).complete, path, "s#1", 0);
    t.is(arrive(path, 10)[0].kind, "attempt.start");
    // A second copy at this VM and a copy with a denied permit are refused.
    t.regex(summarize(arrive(path, 20))[0], /^503, .* another copy of it runs/);
    answer = { isGranted: false, left: 500 };
    const other = createDispatcher(8, () => 0, () => {}, () => answer);
    other.quarantine.recordCrash(fingerprintOf(path).complete, path, "s#1", 0);
    t.regex(
      summarize(other.arrive(path, 10))[0],
      /^503, .* another copy of it runs/,
    );
  });
}

test("dispatch: servers in an evacuated zone receive no requests, and callers are refused immediately", (t) => {
  const { arrive, fleet, servers } = createDispatcher();
  const other = { ...servers[4], availabilityZone: "not-evacuated" };
  fleet.apply([other], [], 0);
  const zone = servers[5].availabilityZone;
  fleet.applyEvacuations({ evacuated: [zone], restored: [] }, 0);
  t.deepEqual(summarize(arrive("/read/", 1)), ["start reads-1, 500 ms left"]);
  // All servers of this service are in the evacuated zone.
  t.regex(
    summarize(arrive("/order/", 1))[0],
    /^503, all servers .* are leaving/,
  );
  fleet.applyEvacuations({ evacuated: [], restored: [zone] }, 2_000);
  t.is(summarize(arrive("/order/", 2_001)).length, 1);
});

test("dispatch: requests for keys in an evacuated zone are sent there only for a limited time", (t) => {
  const { arrive, fleet, servers } = createDispatcher();
  const zone = servers[0].availabilityZone;
  fleet.applyEvacuations({ evacuated: [zone], restored: [] }, 0);
  t.deepEqual(summarize(arrive("/lookup/", 3_000)), [
    "start stock-1, 500 ms left",
  ]);
  const late = arrive("/lookup/", 3_300);
  t.false(late.some(({ kind }) => kind === "attempt.start"));
});

test("dispatch: a request whose permit request is not answered is refused after a short wait", (t) => {
  const { dispatcher, arrive, quarantine } = createDispatcher(
    8,
    () => 0,
    () => {},
    () => null,
  );
  quarantine.recordCrash(fingerprintOf("/read/").complete, "/read/", "s#1", 0);
  t.deepEqual(summarize(arrive("/read/", 0)), []);
  let refusals: string[] = [];
  let now = 0;
  for (let step = 0; step < 10 && refusals.length === 0; step++) {
    now = dispatcher.nextAt();
    refusals = summarize(dispatcher.advance(now));
  }
  t.regex(refusals[0], /^503, /);
  t.is(now, 250);
  t.is(dispatcher.pending, 0);
});

test("dispatch: each attempt after the first that reaches a server uses the retry budget", (t) => {
  const { dispatcher, arrive, fleet, servers } = createDispatcher();
  const extraServer = (number: number) => ({
    ...servers[2],
    id: `orders-${number}`,
    address: `orders-${number}:1`,
  });
  fleet.apply(Array.from({ length: 60 }, (_, i) => extraServer(i + 3)), [], 0);
  let attempt = 0;
  let retries = 0;
  for (let i = 0; i < 20; i++) {
    let reached = 0;
    let starts = arrive("/order/", i * 100).length;
    // Ends each attempt in turn: not run, not sent, not run, not run.
    for (const outcome of [NOT_RUN, NOT_SENT, NOT_RUN, NOT_RUN]) {
      if (starts === 0) break;
      attempt += 1;
      if (outcome === NOT_RUN) reached += 1;
      const effects = dispatcher.attemptEnded(attempt, outcome, i * 100 + 1);
      starts = effects.filter((each) => each.kind === "attempt.start").length;
    }
    retries += Math.max(0, reached - 1);
  }
  // Half of 0.2 * 20 requests + a minimum of 50 / 8 VMs.
  t.true(retries <= 7, `${retries}`);
});

test("dispatch: retries stay within this VM's share of the budget for any sequence of outcomes", (t) => {
  const outcomes = {
    ANSWERED,
    NOT_RUN,
    MISDIRECTED,
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
      const record = (effects: readonly DispatchEffect[], at: number) => {
        for (const effect of effects) {
          if (effect.kind !== "attempt.start") continue;
          const { attempt, exchange } = effect;
          starts.set(attempt, { at, exchange });
          running.push(attempt);
        }
      };
      let now = 0;
      let version = 1;
      for (const { gap, path, outcomes: names, server } of plan) {
        now += gap;
        record(dispatcher.advance(now), now);
        if (server !== null) assign(version += 1, true, server);
        requests.push({ at: now, service: path });
        record(arrive(path, now), now);
        for (const name of names) {
          const attempt = running.shift();
          if (attempt === undefined) break;
          if (name === "NOT_SENT") starts.delete(attempt);
          record(dispatcher.attemptEnded(attempt, outcomes[name], now), now);
        }
      }
      const sent = new Set<number>();
      const retries: { at: number; service: string }[] = [];
      for (const { at, exchange } of starts.values()) {
        const { service } = requests[exchange - 1];
        if (sent.has(exchange)) retries.push({ at, service });
        sent.add(exchange);
      }
      const countInWindow = (
        list: { at: number; service: string }[],
        end: { at: number; service: string },
      ) =>
        list.filter((each) =>
          each.service === end.service && each.at > end.at - 10_000 &&
          each.at <= end.at
        ).length;
      for (const each of retries) {
        const used = countInWindow(retries, each);
        const allowed = 0.2 * countInWindow(requests, each) +
          MINIMUM_RETRIES / 8;
        most = Math.max(most, used);
        if (used > allowed) throw new Error(`${used} of ${allowed}`);
      }
    }),
    { numRuns: 100, seed: 5 },
  );
  // The property must not be satisfied merely for lack of retries.
  t.true(most > 10, `${most}`);
});

// Guards against repeats that a silent link holds back for longer than the retry
// budget counts them.
test("dispatch: a repeat that is in flight for half a window takes another retry or is cancelled", (t) => {
  /** Sends a request again, of which this VM has `retries` in 400 ms. */
  const repeat = (retries: number) => {
    const vms = 0.5 * MINIMUM_RETRIES / retries;
    const { dispatcher, arrive } = createDispatcher(
      ...[vms, undefined, undefined, undefined, undefined, 0.4] as const,
    );
    arrive("/order/", 0);
    const [start] = summarize(dispatcher.attemptEnded(1, NOT_RUN, 10));
    t.regex(start, /^start orders-2/);
    t.is(dispatcher.nextAt(), 210);
    return { dispatcher, ended: summarize(dispatcher.advance(210)) };
  };
  const covered = repeat(2);
  t.deepEqual(covered.ended, []);
  t.is(covered.dispatcher.nextAt(), 410);
  const uncovered = repeat(1);
  t.snapshot(uncovered.ended);
  t.is(uncovered.dispatcher.pending, 0);
});

// Guards against requests that use up the retry budget of a service at a server
// that refuses them, so that requests for keys that have moved are refused too.
test("dispatch: requests that go again to a server that refuses them leave half of the budget to others", (t) => {
  const { dispatcher, arrive, assign } = createDispatcher();
  const sent = new Map<number, number>();
  let now = 0;
  const record = (effects: readonly DispatchEffect[]) => {
    for (const effect of effects) {
      if (effect.kind !== "attempt.start") continue;
      sent.set(effect.exchange, (sent.get(effect.exchange) ?? 0) + 1);
      record(dispatcher.attemptEnded(effect.attempt, MISDIRECTED, now));
    }
  };
  for (let i = 0; i < 40; i++) {
    // The range of a new assignment has no backoff.
    assign(2 + i, true);
    record(arrive("/lookup/", now));
    // Until the request has waited for as long as it may.
    for (const end = now + 150; now < end; now += 5) {
      record(dispatcher.advance(now));
    }
  }
  const repeats = [...sent.values()].reduce((sum, each) => sum + each - 1, 0);
  // This VM's part is 0.1 x 40 + 0.5 x 100 / 8 = 10.25.
  t.true(repeats >= 4 && repeats <= 6, `${repeats} repeats`);
  const [first] = arrive("/lookup/", now);
  t.is(first.kind, "attempt.start");
  const { attempt } = first as { attempt: number };
  assign(50, true, "stock-2");
  const effects = dispatcher.attemptEnded(attempt, MISDIRECTED, now);
  t.deepEqual(summarize(effects), ["start stock-2, 500 ms left"]);
});

// Guards against a late second response to one attempt that is taken for the
// response to another one on the same connection.
test("dispatch: attempts of one request at one server have different ordinals, whatever became of them", (t) => {
  const outcome = fc.constantFrom(...Object.values(OUTCOMES), MISDIRECTED);
  fc.assert(
    fc.property(
      fc.constantFrom("/order/", "/read/", "/lookup/"),
      fc.array(outcome, { minLength: 1, maxLength: 8 }),
      (path, outcomes) => {
        const { dispatcher, arrive } = createDispatcher();
        const ordinals = new Map<string, number[]>();
        const record = (effects: readonly DispatchEffect[], now: number) => {
          for (const effect of effects) {
            if (effect.kind !== "attempt.start") continue;
            const { exchange, attempt, server, ordinal } = effect;
            const name = `${exchange} at ${server}`;
            ordinals.set(name, [...ordinals.get(name) ?? [], ordinal]);
            const next = outcomes.shift();
            if (next === undefined) continue;
            record(dispatcher.attemptEnded(attempt, next, now), now);
          }
        };
        record(arrive(path, 0), 0);
        for (let now = 5; now < 500; now += 5) {
          record(dispatcher.advance(now), now);
        }
        return [...ordinals.values()].every((each) =>
          each.every((ordinal, index) => ordinal === index + 1)
        );
      },
    ),
    { seed: 73 },
  );
  t.pass();
});

test("dispatch: a non-idempotent request that may have run fails with 502 and is never retried", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  t.is(summarize(arrive("/order/", 0)).length, 1);
  t.deepEqual(summarize(dispatcher.attemptEnded(1, LOST, 10)), [
    "502, reset, come back null",
  ]);
  t.is(dispatcher.pending, 0);
});

/** Statuses that tell a caller that its request has not run and never will. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

// Guards against requests that have run although their callers are told that
// they have not: the status of a server that does not state this was passed on.
test("dispatch: a status that promises that a request has not run is not passed on unless the server states it", (t) => {
  const steps = (path: string, outcome: AttemptOutcome) => {
    const { dispatcher, arrive } = createDispatcher();
    arrive(path, 0);
    return {
      first: summarize(dispatcher.attemptEnded(1, outcome, 10)),
      again: summarize(dispatcher.attemptEnded(2, outcome, 20)),
      pending: dispatcher.pending,
    };
  };
  const outcomes = Object.fromEntries(
    [408, 429, 500, 503].map((status) => [status, { ...ANSWERED, status }]),
  );
  t.snapshot(
    Object.fromEntries(
      ["/order/", "/read/", "/lookup/"].map((path) => [
        path,
        Object.fromEntries(
          Object.entries(outcomes).map((
            [status, outcome],
          ) => [status, steps(path, outcome)]),
        ),
      ]),
    ),
  );
});

// Guards against the same on every path by which a request can end.
test("dispatch: callers get a status that promises 'not run' only if no attempt may have run, for any sequence of outcomes", (t) => {
  const responses = [200, 404, 500, ...NOT_RUN_STATUSES].map((status) => ({
    ...ANSWERED,
    status,
  }));
  const outcome = fc.constantFrom<AttemptOutcome>(
    ...responses,
    ...Object.values(OUTCOMES),
    MISDIRECTED,
    { ...SPOILT, status: 503 },
    { ...NOT_RUN, statement: serverStatement({ backoff: 50 }) },
  );
  const mayHaveRun = (each: AttemptOutcome) =>
    each.kind === "answered" ? !each.isNotRun : each.mayHaveBeenSent;
  fc.assert(
    fc.property(
      fc.constantFrom("/order/", "/read/", "/lookup/"),
      fc.array(outcome, { minLength: 1, maxLength: 8 }),
      fc.integer({ min: 1, max: 200 }),
      (path, outcomes, step) => {
        const { dispatcher, arrive } = createDispatcher();
        const upcoming = [...outcomes];
        const ended = new Map<number, AttemptOutcome>();
        const statuses: number[] = [];
        const record = (effects: readonly DispatchEffect[], now: number) => {
          for (const effect of effects) {
            if (effect.kind === "request.refuse") statuses.push(effect.status);
            if (effect.kind === "request.deliver") {
              const delivered = ended.get(effect.attempt)!;
              if (delivered.kind === "answered") {
                statuses.push(delivered.status);
              }
            }
            if (effect.kind !== "attempt.start") continue;
            const next = upcoming.shift();
            if (next === undefined) continue;
            ended.set(effect.attempt, next);
            const at = now + step;
            record(dispatcher.attemptEnded(effect.attempt, next, at), at);
          }
        };
        record(arrive(path, 0), 0);
        for (let now = 5; now < 700; now += 5) {
          record(dispatcher.advance(now), now);
        }
        const promises = statuses.filter((each) =>
          NOT_RUN_STATUSES.includes(each)
        );
        return promises.length === 0 ||
          ![...ended.values()].some(mayHaveRun);
      },
    ),
    { seed: 79, numRuns: 1_000 },
  );
  t.pass();
});

test("dispatch: retries are limited while no share of the minimum is granted", (t) => {
  const { dispatcher, arrive } = createDispatcher(null);
  arrive("/order/", 0);
  t.snapshot(summarize(dispatcher.attemptEnded(1, NOT_RUN, 10)));
});

test("dispatch: a request waits for capacity for a limited time and is then refused", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  for (let i = 0; i < 2; i++) arrive("/order/", 0);
  t.deepEqual(summarize(arrive("/order/", 0)), []);
  t.deepEqual(summarize(dispatcher.advance(43)), []);
  t.snapshot(summarize(dispatcher.advance(44)));
});

test("dispatch: a waiting request is sent when a server has capacity", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  for (let i = 0; i < 3; i++) arrive("/order/", 0);
  t.snapshot(summarize(dispatcher.attemptEnded(1, ANSWERED, 20)));
});

test("dispatch: a request waits for a key that is moving", (t) => {
  const { dispatcher, arrive, assign } = createDispatcher();
  assign(2, false);
  t.deepEqual(summarize(arrive("/lookup/", 0)), []);
  assign(3, true);
  t.snapshot(summarize(dispatcher.advance(20)));
});

test("dispatch: a request for a moving key waits while its response can meet the target latency", (t) => {
  const { dispatcher, arrive, assign } = createDispatcher();
  assign(2, false);
  arrive("/lookup/", 0);
  t.deepEqual(summarize(dispatcher.advance(119)), []);
  t.is(summarize(dispatcher.advance(120)).length, 1);
  t.is(dispatcher.pending, 0);
});

test("dispatch: a refused first attempt receives a short retry delay, a refused retry a long one", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  const retryAfter = (effects: readonly DispatchEffect[]) =>
    effects.flatMap((each) =>
      each.kind === "request.refuse" ? [each.retryAfter] : []
    );
  arrive("/order/", 0, 1_000);
  // The target latency is 200 ms, of which 20 ms have passed.
  t.deepEqual(retryAfter(dispatcher.attemptEnded(1, NOT_RUN, 20)), []);
  t.deepEqual(retryAfter(dispatcher.attemptEnded(2, NOT_RUN, 30)), [85]);
  arrive("/order/", 200, 800);
  dispatcher.attemptEnded(3, NOT_RUN, 220);
  t.deepEqual(retryAfter(dispatcher.attemptEnded(4, NOT_RUN, 230)), [231]);
});

test("dispatch: no request is sent to a draining server", (t) => {
  const { fleet, servers, arrive } = createDispatcher();
  const leaving = servers.filter((each) => each.service === "reads")
    .map((each) => ({ ...each, isDraining: each.id === "reads-1" }));
  fleet.apply(leaving, [], 0);
  for (let i = 0; i < 3; i++) {
    const text = summarize(arrive("/read/", i)).join();
    t.false(text.includes("reads-1"), text);
  }
});

test("dispatch: an idempotent request at an unresponsive server is hedged", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/read/", 0);
  t.deepEqual(summarize(dispatcher.advance(99)), []);
  t.snapshot({
    hedged: summarize(dispatcher.advance(100)),
    answered: summarize(dispatcher.attemptEnded(2, ANSWERED, 150)),
  });
});

test("dispatch: a request is not hedged because this process stalled", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/read/", 0);
  dispatcher.processStalled(300, 300);
  t.deepEqual(summarize(dispatcher.advance(399)), []);
  t.is(summarize(dispatcher.advance(400)).length, 1);
});

test("dispatch: a request waits for the probe of its server, however long this process stalls", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/read/", 0);
  dispatcher.attemptEnded(1, LOST, 10);
  dispatcher.processStalled(200, 210);
  t.deepEqual(summarize(dispatcher.advance(211)), []);
  t.is(summarize(dispatcher.advance(240)).length, 1);
});

test("dispatch: the attempts of a disconnected caller are cancelled", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/read/", 0);
  t.deepEqual(summarize(dispatcher.callerDisconnected(1, 10)), ["cancel"]);
  t.is(dispatcher.pending, 0);
});

test("dispatch: a request without a response fails shortly after its deadline", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/order/", 0);
  t.is(dispatcher.nextAt(), 560);
  t.deepEqual(summarize(dispatcher.advance(559)), []);
  t.snapshot(summarize(dispatcher.advance(560)));
});

test("dispatch: a missing route is a 404 only if a configuration is known", (t) => {
  const { arrive } = createDispatcher();
  t.snapshot(summarize(arrive("/nowhere/", 0)));
  const quarantine = Quarantine.create();
  const catalog = Catalog.create();
  const unconfigured = Dispatcher.create({
    catalog,
    fleet: Fleet.create(),
    directory: KeyDirectory.create(),
    keyLimits: KeyLimits.create(),
    quarantine,
    detector: CrashDetector.create(quarantine, () => {}),
    permits: RunPermits.create({
      requestPermit: () => null,
      release: () => {},
    }),
    paths: ServerPaths.create(ServerReach.create(Fleet.create(), () => 0)),
    tokens: RateTokens.create(
      ServerLimits.create(catalog),
      { requestToken: () => null },
      () => null,
      () => 0,
    ),
    demand: DemandMeter.create(),
    returns: ReturnPolicy.create(),
    admission: AdmissionPolicy.create(),
    features: NO_FEATURES,
    availabilityZone: "a",
    retryLimits: { ratio: 0.2, windowSeconds: 10, minimum: 50 },
    startedAt: () => -Infinity,
    responsesEndAt: () => Infinity,
    vms: () => null,
    minimumShare: () => 0,
    keyRefused: () => {},
    applyStatement: (server, statement, sentAt, now) =>
      void server.statements.apply(statement, sentAt, now),
    ignoreStatement: () => {},
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
  t.snapshot(summarize(unconfigured.requestArrived(arrival, 0)));
});

test("dispatch: requests for an overloaded key are shed immediately with a long retry delay", (t) => {
  const { arrive, keyLimits } = createDispatcher(200, () => 0.5);
  const limit = { service: "stock", first: 0, last: 65_535 };
  keyLimits.replace([{ ...limit, share: 0.4 }], 0);
  const [refusal] = summarize(arrive("/lookup/", 10));
  // 30% of the remaining time, less the jitter.
  t.is(
    refusal,
    "503, the key is asked for more than its server can do, come back 255",
  );
  keyLimits.replace([{ ...limit, share: 0.6 }], 20);
  t.deepEqual(summarize(arrive("/lookup/", 30)), [
    "start stock-1, 500 ms left",
  ]);
  // Requests for other services are not affected.
  t.is(summarize(arrive("/read/", 40)).length, 1);
});

test("dispatch: a load that a server reports to this VM takes precedence over the limits on its keys", (t) => {
  const { dispatcher, arrive, keyLimits } = createDispatcher(200, () => 0.5);
  arrive("/lookup/", 0);
  const load = { running: 0, waiting: 0, slots: 1 };
  const statement = serverStatement({ load });
  dispatcher.attemptEnded(1, { ...ANSWERED, statement }, 50);
  const limit = { service: "stock", first: 0, last: 65_535, share: 0.1 };
  keyLimits.replace([limit], 60);
  t.deepEqual(summarize(arrive("/lookup/", 100)), [
    "start stock-1, 500 ms left",
  ]);
});

/**
 * Records at time 0 that a request crashed three servers, which quarantines it
 * from 1,000 ms on.
 */
function quarantineRequest(quarantine: Quarantine, path: string): void {
  for (const run of ["a#1", "b#1", "c#1"]) {
    quarantine.recordCrash(fingerprintOf(path).complete, path, run, 0);
  }
}

for (const path of ["/order/", "/read/", "/lookup/"]) {
  test(`dispatch: a quarantined request is refused immediately, other requests are not: ${path}`, (t) => {
    const { arrive, quarantine } = createDispatcher();
    quarantineRequest(quarantine, `${path}harmful`);
    t.deepEqual(summarize(arrive(`${path}harmful`, 1_000)), [
      "429, backend servers have ended under this request, come back 119000",
    ]);
    t.is(summarize(arrive(`${path}other`, 1_000)).length, 1);
  });
}

test("dispatch: a request that has reached its crash limit is refused until it is answered", (t) => {
  const { dispatcher, arrive, quarantine } = createDispatcher();
  // This copy is in progress when the other servers crash.
  arrive("/order/harmful", 0);
  quarantineRequest(quarantine, "/order/harmful");
  const [refusal] = summarize(arrive("/order/harmful", 10));
  t.regex(refusal ?? "", /^503, .* no copy of it has been answered/);
  dispatcher.attemptEnded(1, ANSWERED, 20);
  t.deepEqual(summarize(arrive("/order/harmful", 30)), [
    "start orders-2, 500 ms left",
  ]);
});

/** Returns the server to which the effects send a request. */
function serverOf(effects: readonly DispatchEffect[]): string | undefined {
  return effects.flatMap((each) =>
    each.kind === "attempt.start" ? [each.server] : []
  )[0];
}

test("dispatch: copies of a non-idempotent request share a server until one is answered", (t) => {
  const { dispatcher, arrive } = createDispatcher(1);
  arrive("/order/before", 0);
  dispatcher.attemptEnded(1, ANSWERED, 10);
  const shared = serverOf(arrive("/order/x", 100));
  t.is(serverOf(arrive("/order/x", 101)), shared);
  t.not(serverOf(arrive("/order/other", 102)), shared);
  dispatcher.attemptEnded(4, ANSWERED, 110);
  dispatcher.attemptEnded(2, ANSWERED, 111);
  t.not(serverOf(arrive("/order/x", 170)), shared);
});

test("dispatch: a copy goes to another server if the shared one is at capacity", (t) => {
  const { arrive } = createDispatcher(1);
  const shared = serverOf(arrive("/order/x", 0));
  t.is(serverOf(arrive("/order/x", 1)), shared);
  const next = serverOf(arrive("/order/x", 2));
  t.not(next, undefined);
  t.not(next, shared);
});

test("dispatch: a waiting request is refused once it is quarantined", (t) => {
  const { dispatcher, arrive, quarantine } = createDispatcher();
  for (let i = 0; i < 8; i++) arrive("/order/", 990);
  t.deepEqual(summarize(arrive("/order/harmful", 995)), []);
  quarantineRequest(quarantine, "/order/harmful");
  const [refusal] = summarize(dispatcher.advance(1_005));
  t.regex(refusal ?? "", /^429/);
});

test("dispatch: a quarantined request that may have run fails with 502", (t) => {
  const { dispatcher, arrive, quarantine } = createDispatcher();
  arrive("/read/harmful", 990);
  quarantineRequest(quarantine, "/read/harmful");
  t.deepEqual(summarize(dispatcher.attemptEnded(1, LOST, 1_000)), [
    "502, reset, come back null",
  ]);
});

test("dispatch: a request that has crashed two servers is not retried", (t) => {
  const { dispatcher, arrive, quarantine } = createDispatcher();
  for (const run of ["a#1", "b#1"]) {
    quarantine.recordCrash(fingerprintOf("/read/harmful").complete, "", run, 0);
  }
  arrive("/read/harmful", 1_000);
  t.deepEqual(summarize(dispatcher.attemptEnded(1, LOST, 1_010)), [
    "502, reset, come back null",
  ]);
});

test("dispatch: a response with a status below 500 clears the crashes of a request, a server error does not", (t) => {
  const crashCounts = [
    [200, 0],
    [404, 0],
    [408, 1],
    [429, 1],
    [500, 1],
    [503, 1],
    [504, 1],
  ];
  for (const [status, crashCount] of crashCounts) {
    const { dispatcher, arrive, quarantine } = createDispatcher();
    quarantine.recordCrash(fingerprintOf("/order/x").complete, "", "a#1", 0);
    arrive("/order/x", 10);
    dispatcher.attemptEnded(1, { ...ANSWERED, status }, 20);
    t.is(quarantine.crashCount(fingerprintOf("/order/x")), crashCount);
  }
});

test("dispatch: a server is probed after a broken attempt, but not after a refused one", (t) => {
  const countProbes = (outcome: AttemptOutcome) => {
    const { dispatcher, arrive } = createDispatcher();
    arrive("/order/", 0);
    return dispatcher.attemptEnded(1, outcome, 10)
      .filter(({ kind }) => kind === "server.check").length;
  };
  t.deepEqual([LOST, SPOILT, NOT_SENT, NOT_RUN, ANSWERED].map(countProbes), [
    1,
    1,
    0,
    0,
    0,
  ]);
});

test("dispatch: while the clock may be ahead, a request in flight gets more time and is not retried", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/read/", 0);
  dispatcher.extendDeadlines(3_000);
  t.deepEqual(summarize(dispatcher.advance(3_100)), []);
  t.deepEqual(summarize(dispatcher.attemptEnded(1, LOST, 3_120)), [
    "502, reset, come back null",
  ]);
  arrive("/read/", 3_200);
  dispatcher.extendDeadlines(3_000);
  t.deepEqual(summarize(dispatcher.advance(6_750)), []);
  t.regex(summarize(dispatcher.advance(6_770)).join(), /^cancel,504/);
});

test("dispatch: a keyed request beyond its server's rate limit is refused immediately with a long retry delay", (t) => {
  const denied = () => ({ isGranted: false, left: 200 });
  const { arrive, fleet } = createDispatcher(
    8,
    () => 0.5,
    undefined,
    undefined,
    denied,
  );
  fleet.get("stock-1")!.rateLimit.applyResponse(2, 0, 0);
  const [refusal] = summarize(arrive("/lookup/", 10));
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
  fleet.get("orders-1")!.rateLimit.applyResponse(2, 0, 0);
  t.deepEqual(summarize(arrive("/order/", 10)), [
    "start orders-2, 500 ms left",
  ]);
  fleet.get("reads-1")!.rateLimit.applyResponse(2, 0, 11);
  fleet.get("reads-2")!.rateLimit.applyResponse(2, 0, 11);
  const effects = [...arrive("/read/", 12), ...dispatcher.advance(13)];
  t.regex(
    summarize(effects)[0],
    /^503, all servers of the service limit their requests/,
  );
});

test("dispatch: a waiting request is sent once its token is granted", (t) => {
  const { arrive, fleet, dispatcher, tokens } = createDispatcher();
  fleet.get("stock-1")!.rateLimit.applyResponse(2, 0, 0);
  t.deepEqual(summarize(arrive("/lookup/", 10)), []);
  const server = fleet.get("stock-1")!;
  tokens.applyAnswer(server, { isGranted: true, left: 0 }, 13);
  t.deepEqual(summarize(dispatcher.advance(13)), [
    "start stock-1, 497 ms left",
  ]);
});

const LEAVING = {
  ...ANSWERED,
  statement: serverStatement({ isLeaving: true }),
};

// Guards against requests without a key to a server that has stated that it is
// leaving, and to a service whose servers are all leaving.
test("dispatch: a server that states that it is leaving gets no more requests without a key", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/order/", 0);
  dispatcher.attemptEnded(1, LEAVING, 10);
  for (const now of [11, 12]) {
    t.deepEqual(summarize(arrive("/order/", now)), [
      "start orders-2, 500 ms left",
    ]);
    dispatcher.attemptEnded(now - 9, ANSWERED, now);
  }
  arrive("/order/", 20);
  dispatcher.attemptEnded(4, LEAVING, 30);
  const [refusal] = summarize(arrive("/order/", 40));
  t.regex(refusal, /^503, all servers of the service are leaving,/);
});

// Guards against requests for a key to a server that has stated that it is
// leaving, later than the drain time.
test("dispatch: a server that states that it is leaving gets requests for its keys until shortly before the drain time", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/lookup/", 0);
  dispatcher.attemptEnded(1, LEAVING, 10);
  t.deepEqual(summarize(arrive("/lookup/", 1_800)), [
    "start stock-1, 500 ms left",
  ]);
  dispatcher.attemptEnded(2, LEAVING, 1_805);
  const [refusal] = summarize(arrive("/lookup/", 1_811));
  t.regex(refusal, /^503, the key's server is leaving/);
});

// Guards against statements that another process made.
test("dispatch: statements that the server may not have made are ignored", (t) => {
  const statement = serverStatement({ isLeaving: true, backoff: 3_000 });
  for (
    const outcome of [
      { ...SPOILT, statement },
      { ...MISDIRECTED, statement },
      { ...MISDIRECTED, server: "another", statement },
      { ...NOT_RUN, server: "another", statement },
      { ...ANSWERED, server: "another", statement },
    ]
  ) {
    const { dispatcher, arrive, fleet } = createDispatcher();
    arrive("/order/", 0);
    dispatcher.attemptEnded(1, outcome, 10);
    t.false(fleet.get("orders-1")!.isLeaving);
  }
  const { dispatcher, arrive, fleet } = createDispatcher();
  arrive("/order/", 0);
  const entry = { ...fleet.get("orders-1")!.entry, incarnation: 7 };
  fleet.apply([entry], [], 5);
  dispatcher.attemptEnded(1, { ...ANSWERED, statement }, 10);
  t.false(fleet.get("orders-1")!.isLeaving, "a later process of the server");
});

// Guards against a response to another request that is taken for a sign of
// overload.
test("dispatch: a full server is seen only in a statement that it has made", (t) => {
  const load = { running: 2, waiting: 2, slots: 2 };
  const statement = serverStatement({ load });
  const overloadsOf = (outcome: AttemptOutcome) => {
    const { dispatcher, arrive, admission } = createDispatcher();
    let overloads = 0;
    admission.overloadSeen = () => overloads += 1;
    arrive("/order/", 0);
    dispatcher.attemptEnded(1, outcome, 10);
    return overloads;
  };
  t.snapshot({
    answered: overloadsOf({ ...ANSWERED, statement }),
    refused: overloadsOf({ ...NOT_RUN, statement }),
    spoilt: overloadsOf({ ...SPOILT, statement }),
    another: overloadsOf({ ...NOT_RUN, server: "another", statement }),
  });
});

/** Refusal of a server that accepts nothing for three seconds. */
const BACKOFF = {
  ...NOT_RUN,
  statement: serverStatement({ backoff: 3_000 }),
};

// Guards against retries and first attempts at the server of a key during the
// backoff that it has requested, and against callers that come back too early.
test("dispatch: requests for a key are refused until the end of its server's backoff, with the time until then", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/lookup/", 0);
  const reason = "the key's server has requested a backoff";
  t.deepEqual(summarize(dispatcher.attemptEnded(1, BACKOFF, 10)), [
    "503, the server did not run it, come back 3000",
  ]);
  t.deepEqual(summarize(arrive("/lookup/", 1_510)), [
    `503, ${reason}, come back 1500`,
  ]);
  t.deepEqual(summarize(arrive("/lookup/", 3_009)), [
    `503, ${reason}, come back 1`,
  ]);
  t.deepEqual(summarize(arrive("/lookup/", 3_010)), [
    "start stock-1, 500 ms left",
  ]);
});

// Guards against requests that wait for a server until their wait limit although
// it has requested a backoff meanwhile.
test("dispatch: queued requests for a key are refused when its server requests a backoff", (t) => {
  const { dispatcher, arrive } = createDispatcher();
  arrive("/lookup/", 0);
  arrive("/lookup/", 1);
  t.deepEqual(summarize(arrive("/lookup/", 2)), [], "waits for room");
  const effects = summarize(dispatcher.attemptEnded(1, BACKOFF, 10));
  t.deepEqual(effects.map((each) => each.slice(0, 3)), ["503", "503", "503"]);
});

// Guards against first attempts, retries and hedges at a server without keys
// during its backoff, and against one that gets no requests after it.
test("dispatch: a server without keys gets nothing during its backoff and its usual share after it", (t) => {
  const { dispatcher, arrive, fleet } = createDispatcher();
  arrive("/read/", 0);
  t.deepEqual(summarize(dispatcher.attemptEnded(1, BACKOFF, 10)), [
    "start reads-2, 490 ms left",
  ]);
  dispatcher.attemptEnded(2, ANSWERED, 20);
  // Not hedged: there is no other server.
  arrive("/read/", 30);
  t.deepEqual(summarize(dispatcher.advance(400)), []);
  dispatcher.attemptEnded(3, BACKOFF, 410);
  const refusal = summarize(arrive("/read/", 1_010));
  t.deepEqual(refusal, [
    "503, all servers of the service have requested a backoff, come back 2000",
  ]);
  const [first] = fleet.serversOf("reads");
  t.true(first.isBackedOff(3_009));
  t.false(first.isBackedOff(3_010));
  t.deepEqual(summarize(arrive("/read/", 3_010)), [
    "start reads-1, 500 ms left",
  ]);
  const latency = first.latency ?? fleet.meanLatency("reads", 3_010);
  t.is(
    first.cost(3_010, latency),
    2 * latency,
    "the refusals count for nothing",
  );
});

test("dispatch: a Retry-After of zero seconds is no backoff", (t) => {
  const { dispatcher, arrive, fleet } = createDispatcher();
  arrive("/lookup/", 0);
  const statement = serverStatement({ backoff: 0 });
  dispatcher.attemptEnded(1, { ...NOT_RUN, statement }, 10);
  t.false(fleet.get("stock-1")!.isBackedOff(10));
  t.deepEqual(summarize(arrive("/lookup/", 11)), [
    "start stock-1, 500 ms left",
  ]);
});

/** Creates a dispatcher that admits by priority; all ranks are 0.5. */
function createAdmittingDispatcher() {
  const features = { ...NO_FEATURES, admitsByPriority: true };
  const created = createDispatcher(
    8,
    () => 0.5,
    undefined,
    undefined,
    undefined,
    10,
    features,
  );
  /** Ends an attempt at 503 or 200 with this load of the server. */
  const end = (attempt: number, running: number, now: number) =>
    created.dispatcher.attemptEnded(attempt, {
      ...ANSWERED,
      statement: serverStatement({ load: { running, waiting: 0, slots: 1 } }),
    }, now);
  return { ...created, end };
}

const NOT_ADMITTED =
  "503, the service has more urgent requests than it can run";

// Guards against requests that wait for a slot that a more urgent one needs.
test("dispatch: a request above the threshold of its service is refused on arrival", (t) => {
  const { arrive, admission } = createAdmittingDispatcher();
  admission.replace([{ service: "reads", threshold: 0.4, wait: 0 }], 0);
  const effects = arrive("/read/", 10);
  t.true(summarize(effects)[0].startsWith(NOT_ADMITTED));
  t.true(
    effects.some((each) =>
      each.kind === "note" && each.decision === "request.not_admitted"
    ),
  );
  t.deepEqual(admission.denials, [{
    service: "reads",
    priority: 0,
    count: 1,
  }]);
  t.is(summarize(arrive("/order/", 20)).length, 1, "another service");
  admission.replace([{ service: "reads", threshold: 0.6, wait: 0 }], 30);
  t.true(summarize(arrive("/read/", 40))[0].startsWith("start"));
});

test("dispatch: without the feature a threshold has no effect", (t) => {
  const { arrive, admission, keyLimits } = createDispatcher(8, () => 0.5);
  admission.replace([{ service: "reads", threshold: 0, wait: 1_000 }], 0);
  t.true(summarize(arrive("/read/", 10))[0].startsWith("start"));
  const limit = { service: "stock", first: 0, last: 65_535, share: 0.6 };
  keyLimits.replace([{ ...limit, threshold: 0 }], 0);
  t.true(summarize(arrive("/lookup/", 10))[0].startsWith("start"));
});

// Guards against refusals while the server has just stated free slots, and
// against one statement that permits any number of requests.
test("dispatch: a response that states free slots permits one more request", (t) => {
  const { arrive, admission, end } = createAdmittingDispatcher();
  arrive("/read/", 0);
  admission.replace([{ service: "reads", threshold: 0, wait: 0 }], 10);
  end(1, 0, 20);
  t.true(summarize(arrive("/read/", 30))[0].startsWith("start"));
  t.true(summarize(arrive("/read/", 31))[0].startsWith(NOT_ADMITTED));
  end(2, 1, 40);
  t.true(summarize(arrive("/read/", 41))[0].startsWith(NOT_ADMITTED), "full");
});

test("dispatch: a request with less time than its wait and work is refused on arrival", (t) => {
  const { arrive, admission, end } = createAdmittingDispatcher();
  arrive("/read/", 0);
  end(1, 1, 100);
  admission.replace([{ service: "reads", wait: 300 }], 100);
  const [refusal] = summarize(arrive("/read/", 110, 350));
  t.regex(refusal, /^503, the request has less time than it would wait/);
  t.true(summarize(arrive("/read/", 120, 450))[0].startsWith("start"));
});

// Guards against refusing after 0.22 of the target what can meet it, and
// against longer waits without an admission.
test("dispatch: an admitted request waits for a slot as long as it can meet its target", (t) => {
  const refusedAt = (hasAdmission: boolean) => {
    const { arrive, admission, dispatcher } = createAdmittingDispatcher();
    if (hasAdmission) admission.replace([{ service: "reads", wait: 0 }], 0);
    for (let i = 0; i < 4; i++) arrive("/read/", 0);
    arrive("/read/", 0);
    for (let now = 1; now < 400; now++) {
      if (summarize(dispatcher.advance(now)).length > 0) return now;
    }
    return null;
  };
  t.is(refusedAt(false), 44);
  t.is(refusedAt(true), 180, "target 200 ms, margin 20 ms");
});

// Guards against low priorities that keep slots from urgent requests, since they
// were queued before the first answer of a burst.
test("dispatch: a request that has just been queued is refused if a threshold excludes it", (t) => {
  const { arrive, admission, dispatcher } = createAdmittingDispatcher();
  for (let i = 0; i < 4; i++) arrive("/read/", 0);
  arrive("/read/", 0);
  arrive("/read/", 20);
  admission.replace([{ service: "reads", threshold: 0.4, wait: 0 }], 30);
  const refusals = summarize(dispatcher.advance(30));
  t.is(refusals.length, 1, "the older one has waited for more than an eighth");
  t.true(refusals[0].startsWith(NOT_ADMITTED));
});

// Guards against refusing urgent requests for a busy key by a random number.
test("dispatch: a limit on keys with a threshold refuses by rank", (t) => {
  const { arrive, keyLimits } = createAdmittingDispatcher();
  const limit = { service: "stock", first: 0, last: 65_535, share: 0.1 };
  keyLimits.replace([{ ...limit, threshold: 0.6 }], 0);
  t.true(summarize(arrive("/lookup/", 10))[0].startsWith("start"));
  keyLimits.replace([{ ...limit, threshold: 0.4 }], 0);
  t.true(summarize(arrive("/lookup/", 20))[0].startsWith("503, the key is"));
  keyLimits.replace([limit], 0);
  t.true(
    summarize(arrive("/lookup/", 30))[0].startsWith("503, the key is"),
    "the share of an older holder",
  );
});

// Guards against telling a caller that there is no capacity in its time, while
// another VM can accept its request immediately.
test("dispatch: a request that a server refused gets no planned return when this VM stops", (t) => {
  const features = { ...NO_FEATURES, schedulesReturns: true };
  const { dispatcher, arrive, returns } = createDispatcher(
    8,
    () => 0,
    undefined,
    undefined,
    undefined,
    10,
    features,
  );
  arrive("/lookup/", 0);
  const late = [{ priority: 0, from: 9_000, until: 9_000 }];
  returns.receive([{ service: "stock", returns: late }], 0);
  t.deepEqual(summarize(dispatcher.attemptEnded(1, NOT_RUN, 5)), []);
  const [refusal] = dispatcher.endQueuedRequests("stopping", 6)
    .filter((each) => each.kind === "request.refuse");
  t.true(refusal.retryAfter !== null && refusal.retryAfter < 300);
});

// Guards against reports of all VMs each 200 ms while a server is gone, which is
// no lack of capacity.
test("dispatch: only a request that waits for capacity is a sign of a busy service", (t) => {
  const { arrive, admission, assign } = createAdmittingDispatcher();
  assign(2, true, "stock-3");
  arrive("/lookup/", 0);
  t.false(admission.isBusy(0));
  for (let i = 0; i < 5; i++) arrive("/read/", 0);
  t.true(admission.isBusy(0));
});

// Guards against holding an admitted request for most of its target although no
// slot would help it.
test("dispatch: an admitted request does not wait longer for a server that is gone", (t) => {
  const refusedAt = (hasAdmission: boolean) => {
    const { arrive, admission, dispatcher, assign } =
      createAdmittingDispatcher();
    assign(2, true, "stock-3");
    if (hasAdmission) admission.replace([{ service: "stock", wait: 0 }], 0);
    t.deepEqual(summarize(arrive("/lookup/", 0)), []);
    for (let now = 1; now < 400; now++) {
      if (summarize(dispatcher.advance(now)).length > 0) return now;
    }
    return null;
  };
  t.is(refusedAt(false), 44);
  t.is(refusedAt(true), 44);
});

/** Creates a dispatcher of a single VM that sends each server 100 bytes. */
function createBodyLimit() {
  const created = createDispatcher(
    1,
    undefined,
    undefined,
    undefined,
    undefined,
    undefined,
    undefined,
    100,
  );
  const send = (path: string, bytes: number, now: number) =>
    summarize(created.arrive(path, now, 1_000, bytes));
  const end = (attempt: number, now: number, outcome = ANSWERED) =>
    summarize(created.dispatcher.attemptEnded(attempt, outcome, now));
  return { ...created, send, end };
}

// Guards against a server that is sent more than its memory takes, against a
// wait at this VM that counts as time at the server, and against a larger
// request that holds up smaller ones.
test("dispatch: a request waits while too many bytes are in flight to its key's server", (t) => {
  const { send, end, fleet } = createBodyLimit();
  t.deepEqual(send("/lookup/a", 60, 0), ["start stock-1, 500 ms left"]);
  t.deepEqual(send("/lookup/b", 60, 0), []);
  t.deepEqual(send("/lookup/c", 40, 0), ["start stock-1, 500 ms left"]);
  t.deepEqual(end(2, 10), ["deliver"]);
  t.deepEqual(end(1, 40), ["deliver", "start stock-1, 460 ms left"]);
  const server = fleet.get("stock-1")!;
  t.is(server.bodyBytes, 60);
  const latency = server.latency!;
  t.deepEqual(end(3, 50), ["deliver"]);
  t.true(server.latency! <= latency, `${server.latency}`);
  t.is(server.bodyBytes, 0);
});

test("dispatch: a body above the limit is sent alone, a request without one at once", (t) => {
  const { send, end } = createBodyLimit();
  t.is(send("/lookup/a", 500, 0).length, 1);
  t.deepEqual(send("/lookup/b", 1, 0), []);
  t.is(send("/lookup/c", 0, 0).length, 1);
  t.deepEqual(end(1, 10), ["deliver", "start stock-1, 490 ms left"]);
});

// Guards against a request that is sent after it was cancelled, and against
// bytes that stay counted, after which the server would receive nothing more.
test("dispatch: a request that ends while it waits for room is never sent", (t) => {
  const { dispatcher, send, end, fleet } = createBodyLimit();
  send("/lookup/a", 100, 0);
  send("/lookup/b", 100, 0);
  send("/lookup/c", 100, 0);
  t.deepEqual(summarize(dispatcher.callerDisconnected(2, 5)), []);
  t.deepEqual(end(1, 10), ["deliver", "start stock-1, 490 ms left"]);
  t.deepEqual(summarize(dispatcher.callerDisconnected(3, 15)), ["cancel"]);
  t.is(fleet.get("stock-1")!.bodyBytes, 0);
});

// Guards against requests that are sent near or after their deadline, without
// the checks that were made on arrival, and against a 504 for a request that
// was never sent.
test("dispatch: a request that waits for room is checked again, and refused in time", (t) => {
  const { dispatcher, send, end, assign } = createBodyLimit();
  send("/lookup/a", 100, 0);
  send("/lookup/b", 100, 0);
  assign(2, true, "stock-2");
  t.deepEqual(summarize(dispatcher.advance(20)), [
    "start stock-2, 480 ms left",
  ]);
  send("/lookup/c", 100, 20);
  t.deepEqual(summarize(dispatcher.advance(139)), []);
  t.regex(
    summarize(dispatcher.advance(141)).join(),
    /^503, the key's server cannot take the body now, /,
  );
  t.deepEqual(end(2, 150), ["deliver"]);
});

// Guards against a wait for a whole service behind one large request, and
// against a limit on an idle server that is taken for overload.
test("dispatch: a large request without a key does not hold up smaller ones", (t) => {
  const { send, end, admission } = createBodyLimit();
  let overloads = 0;
  admission.overloadSeen = () => overloads += 1;
  for (let i = 0; i < 2; i++) t.is(send("/order/a", 60, 0).length, 1);
  t.deepEqual(send("/order/b", 60, 0), []);
  for (let i = 0; i < 2; i++) t.is(send("/order/c", 0, 0).length, 1);
  t.is(overloads, 0);
  t.deepEqual(send("/order/d", 0, 0), []);
  t.deepEqual(end(3, 10), ["deliver", "start orders-1, 490 ms left"]);
});
