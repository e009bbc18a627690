import test from "ava";
import {
  configurationSchema,
  siteConfiguration,
} from "../configuration/index.ts";
import type { Effect } from "../effect.ts";
import type { RequestArrival } from "../event.ts";
import { DEFAULT_TIMING, type View } from "../ownership/index.ts";
import { LeastOutstanding, ServerWatch } from "../routing/index.ts";
import type { DispatchContext } from "./dispatch_context.ts";
import { Dispatcher } from "./dispatcher.ts";

const server = (id: string) => ({
  id,
  address: "127.0.0.1:1",
  availabilityZone: "z",
});

const configuration = siteConfiguration(
  configurationSchema.parse({
    base: {
      cluster: "c",
      services: {
        plain: { slots: 1, connections: 1 },
        keyed: {
          key: { header: "x-key" },
          keySlots: 1,
          checks: { lease: true },
        },
      },
    },
    overlays: [{
      site: "s",
      availabilityZones: ["z"],
      services: {
        plain: { backendServers: [server("plain-1"), server("plain-2")] },
        keyed: { backendServers: [server("keyed-1"), server("keyed-2")] },
      },
    }],
  }),
  "s",
  1,
);

/** A dispatcher with its surroundings, and what it did in few words. */
function setUp() {
  const servers = ServerWatch.create();
  servers.configure(configuration, 1);
  const context: DispatchContext = {
    now: 0,
    availabilityZone: "z",
    configuration,
    servers,
    view: viewAt(1, "keyed-1", 5),
    leaseUntil: 600,
    timing: DEFAULT_TIMING,
    claims: () => ({
      now: 0,
      wallTime: 0,
      self: member("a"),
      members: [member("a")],
      hash: () => 0,
      send: () => {},
    }),
    draw: () => 0,
    suspect: () => {},
  };
  const dispatcher = Dispatcher.create(LeastOutstanding.create());
  const out: Effect[] = [];
  return {
    context,
    dispatcher,
    out,
    arrive: (change: Partial<RequestArrival> = {}) =>
      dispatcher.arrive(context, { ...arrival, ...change }, out),
    said: () => out.splice(0).map(describe),
  };
}

function member(vm: string) {
  return {
    vm,
    incarnation: 1,
    availabilityZone: "z",
    peerAddress: vm,
    startedAt: 0,
  };
}

const arrival: RequestArrival = {
  kind: "request.arrived",
  now: 0,
  exchange: 1,
  requestId: "r1",
  callerChoseId: true,
  service: "plain",
  keyHash: null,
  idempotent: false,
  replayable: true,
  timeout: 1_000,
};

function viewAt(version: number, owner: string | null, token: number): View {
  return {
    position: { term: 1, version },
    membership: { offset: 0, members: [], witnesses: [] },
    services: { keyed: [{ server: owner, token }] },
  };
}

function describe(effect: Effect): string {
  switch (effect.kind) {
    case "request.dispatch":
      return `send ${effect.exchange} to ${effect.server} under ${effect.token}`;
    case "request.refuse":
      return `refuse ${effect.exchange} ${effect.status} ${effect.outcome}: ${effect.reason}`;
    case "request.deliver":
      return `deliver ${effect.exchange}`;
    case "attempt.abort":
      return `abort: ${effect.cause}`;
    default:
      return effect.kind;
  }
}

const failed = { kind: "attempt.failed", now: 0, cause: "reset" } as const;
const answered = { kind: "attempt.answered", now: 0, status: 200 } as const;

test("Dispatcher: work that may have run is not sent again", (t) => {
  const { arrive, said, dispatcher, context, out } = setUp();
  arrive();
  dispatcher.fail(context, { ...failed, attempt: 1, sent: true }, out);
  t.snapshot(said());
});

test("Dispatcher: work of which no byte was sent goes to another server", (t) => {
  const { arrive, said, dispatcher, context, out } = setUp();
  arrive();
  dispatcher.fail(context, { ...failed, attempt: 1, sent: false }, out);
  t.snapshot(said());
});

test("Dispatcher: idempotent work may be sent again", (t) => {
  const { arrive, said, dispatcher, context, out } = setUp();
  arrive({ idempotent: true });
  dispatcher.fail(context, { ...failed, attempt: 1, sent: true }, out);
  t.snapshot(said());
});

test("Dispatcher: a body that cannot be replayed is sent once", (t) => {
  const { arrive, said, dispatcher, context, out } = setUp();
  arrive({ replayable: false });
  dispatcher.answer(context, { ...answered, attempt: 1, verdict: "shed" }, out);
  t.snapshot(said());
});

test("Dispatcher: after an unknown attempt, 'not run' is never said", (t) => {
  const { arrive, said, dispatcher, context, out } = setUp();
  arrive({ idempotent: true });
  dispatcher.fail(context, { ...failed, attempt: 1, sent: true }, out);
  for (const each of context.servers.all()) context.servers.onLost(each);
  dispatcher.answer(context, { ...answered, attempt: 2, verdict: "shed" }, out);
  t.snapshot(said());
});

test("Dispatcher: an answer of another exchange is dropped", (t) => {
  const { arrive, said, dispatcher, context, out } = setUp();
  arrive();
  const verdict = "mismatched";
  dispatcher.answer(context, { ...answered, attempt: 1, verdict }, out);
  t.snapshot(said());
});

test("Dispatcher: a request id that was used is refused", (t) => {
  const { arrive, said } = setUp();
  arrive();
  arrive({ exchange: 2 });
  arrive({ exchange: 3, requestId: "r2" });
  t.snapshot(said());
});

test("Dispatcher: keyed work waits for a lease, then is refused", (t) => {
  const { arrive, said, dispatcher, context, out } = setUp();
  context.leaseUntil = 0;
  arrive({ service: "keyed", keyHash: 7 });
  t.deepEqual(said(), []);
  context.now = 400;
  dispatcher.tick(context, out);
  t.snapshot(said());
});

test("Dispatcher: keyed work waits for an owner", (t) => {
  const { arrive, said, dispatcher, context, out } = setUp();
  context.view = viewAt(2, null, 5);
  arrive({ service: "keyed", keyHash: 7 });
  t.deepEqual(said(), []);
  context.view = viewAt(3, "keyed-2", 6);
  dispatcher.adopt(context, [], out);
  t.snapshot(said());
});

test("Dispatcher: an answer under a superseded token is not passed on", (t) => {
  const { arrive, said, dispatcher, context, out } = setUp();
  arrive({ service: "keyed", keyHash: 7 });
  context.view = viewAt(3, "keyed-2", 6);
  dispatcher.answer(context, { ...answered, attempt: 1, verdict: "ran" }, out);
  t.snapshot(said());
});

test("Dispatcher: an answer after the lease is not passed on", (t) => {
  const { arrive, said, dispatcher, context, out } = setUp();
  arrive({ service: "keyed", keyHash: 7 });
  context.now = 601;
  dispatcher.answer(context, { ...answered, attempt: 1, verdict: "ran" }, out);
  t.snapshot(said());
});

test("Dispatcher: a hand-over is drained when its work has ended", (t) => {
  const { arrive, dispatcher, context, out } = setUp();
  arrive({ service: "keyed", keyHash: 7 });
  context.view = viewAt(2, null, 5);
  dispatcher.adopt(context, [], out);
  const before = dispatcher.drained(0, context.view.position);
  dispatcher.answer(context, { ...answered, attempt: 1, verdict: "ran" }, out);
  dispatcher.complete(context, 1, out);
  const after = dispatcher.drained(0, context.view.position);
  t.snapshot({ before, after, said: out.map(describe) });
});

test("Dispatcher: work at a lost server drains when it can start no more", (t) => {
  const { arrive, dispatcher, context, out } = setUp();
  arrive({ service: "keyed", keyHash: 7 });
  context.view = viewAt(2, null, 5);
  dispatcher.adopt(context, ["keyed-1"], out);
  const { startWindow, clockError } = DEFAULT_TIMING;
  const end = startWindow + clockError;
  t.snapshot({
    before: dispatcher.drained(end - 1, context.view.position),
    after: dispatcher.drained(end, context.view.position),
    said: out.map(describe),
  });
});

test("Dispatcher: what waits past its deadline is refused at once", (t) => {
  const { arrive, said, dispatcher, context, out } = setUp();
  for (const exchange of [1, 2, 3]) {
    arrive({ exchange, requestId: `r${exchange}` });
  }
  said();
  context.now = 1_000;
  dispatcher.tick(context, out);
  t.snapshot(said().sort());
});
