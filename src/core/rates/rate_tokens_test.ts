import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { createUniformGenerator } from "../random.ts";
import { Catalog } from "../catalog/index.ts";
import { Fleet, type TrackedServer } from "../fleet/index.ts";
import { RateTokens, type TokenChannel } from "./rate_tokens.ts";
import { ServerLimits } from "./server_limits.ts";

/** Creates a server with a limit of `requestsPerSecond` since time 0. */
function limitedServer(requestsPerSecond: number): TrackedServer {
  const fleet = Fleet.create();
  fleet.apply([backendServer("s")], [], 0);
  const server = fleet.get("s")!;
  server.rateLimit.applyResponse(requestsPerSecond, 0, 0);
  return server;
}

function tokensWith(
  requestToken: TokenChannel["requestToken"],
  vmCount: number | null = 10,
): RateTokens {
  return RateTokens.create(
    ServerLimits.create(Catalog.create()),
    { requestToken },
    () => vmCount,
    () => 0.5,
  );
}

test("rate tokens: a server without a limit needs no tokens", (t) => {
  const tokens = tokensWith(() => t.fail());
  const fleet = Fleet.create();
  fleet.apply([backendServer("s")], [], 0);
  t.is(tokens.check(fleet.get("s")!, true, 0).kind, "ready");
});

test("rate tokens: each granted token permits one request", (t) => {
  let requested = 0;
  const tokens = tokensWith(() => {
    requested += 1;
    return null;
  });
  const server = limitedServer(5);
  t.is(tokens.check(server, true, 0).kind, "asked");
  t.is(tokens.check(server, true, 1).kind, "asked");
  t.is(requested, 1);
  tokens.applyAnswer(server, { isGranted: true, left: 0 }, 4);
  t.is(tokens.check(server, true, 5).kind, "ready");
  tokens.requestSent(server, 5);
  t.is(tokens.check(server, true, 6).kind, "asked");
  t.is(requested, 2);
});

test("rate tokens: no token is requested again while a denial applies", (t) => {
  const requested: boolean[] = [];
  const tokens = tokensWith((_server, isUrgent) => {
    requested.push(isUrgent);
    return { isGranted: false, left: 200 };
  });
  const server = limitedServer(5);
  t.deepEqual(tokens.check(server, false, 0), {
    kind: "denied",
    until: 200,
    isUrgent: false,
  });
  tokens.check(server, false, 199);
  t.deepEqual(requested, [false]);
  // The denial does not apply to urgent requests, for which a token is
  // reserved.
  tokens.check(server, true, 199);
  t.deepEqual(requested, [false, true]);
});

// Guards against stalled requests or an unlimited rate while the term holder is
// unreachable.
test("rate tokens: a VM uses its share while the term holder does not answer", (t) => {
  const tokens = tokensWith(() => null);
  const server = limitedServer(5);
  let sent = 0;
  for (let now = 0; now < 9_000; now += 10) {
    if (tokens.check(server, true, now).kind !== "ready") continue;
    tokens.requestSent(server, now);
    sent += 1;
  }
  // A tenth of 5 requests per second, less the time spent on timeouts.
  t.true(sent >= 3 && sent <= 5, `${sent} in 9 s`);
});

// Guards against a share that is computed with a number of VMs that is assumed.
test("rate tokens: a VM that does not know the number of VMs has no share", (t) => {
  const tokens = tokensWith(() => "unreachable", null);
  const server = limitedServer(5);
  for (let now = 0; now < 9_000; now += 10) {
    t.is(tokens.check(server, true, now).kind, "denied");
  }
});

// Guards against VMs that all use, after a pause, the turns that were due in it.
test("rate tokens: shares that were not used in a pause are not used after it", (t) => {
  const vms = 61;
  const draw = createUniformGenerator(1);
  const servers = Array.from({ length: vms }, () => limitedServer(5));
  const tokens = servers.map(() =>
    RateTokens.create(
      ServerLimits.create(Catalog.create()),
      { requestToken: () => "unreachable" },
      () => vms,
      draw,
    )
  );
  const send = (now: number) =>
    servers.filter((server, i) => {
      const isReady = tokens[i].check(server, true, now).kind === "ready";
      if (isReady) tokens[i].requestSent(server, now);
      return isReady;
    }).length;
  send(0);
  let sent = 0;
  for (let now = 9_000; now < 10_000; now += 10) sent += send(now);
  // The rate, and the turns that became due within the second before.
  t.true(sent <= 2 * 5 + 4, `${sent} in a second`);
  t.true(sent > 0);
});

// Guards against a token that is used long after it was granted, beside those
// of the next term holder.
test("rate tokens: a token expires by the time of the request for it", (t) => {
  const tokens = tokensWith(() => null);
  const server = limitedServer(5);
  tokens.check(server, true, 0);
  tokens.applyAnswer(server, { isGranted: true, left: 0 }, 240);
  t.is(tokens.check(server, true, 999).kind, "ready");
  t.not(tokens.check(server, true, 1_000).kind, "ready");
});
