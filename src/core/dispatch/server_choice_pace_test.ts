import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { Catalog } from "../catalog/index.ts";
import { Fleet } from "../fleet/index.ts";
import { createUniformGenerator } from "../random.ts";
import { RateTokens, ServerLimits } from "../rates/index.ts";
import { ServerPaths, ServerReach } from "../reach/index.ts";
import { chooseServer } from "./server_choice.ts";

const CHOICES = 4_000;

/** Share of the choices that each of four servers with these paces gets. */
function shares(paces: readonly number[]): number[] {
  const fleet = Fleet.create();
  fleet.apply(paces.map((_, i) => backendServer(`i-${i}`)), [], 0);
  const draw = createUniformGenerator(1);
  const tokens = RateTokens.create(
    ServerLimits.create(Catalog.create()),
    { requestToken: () => "unreachable" },
    () => 4,
    draw,
  );
  const context = {
    fleet,
    availabilityZone: "a",
    vmCount: 4,
    tokens,
    paths: ServerPaths.create(ServerReach.create(fleet, draw)),
    isUrgent: true,
    hasBodyRoom: () => true,
    draw,
  };
  for (const [i, pace] of paces.entries()) {
    fleet.get(`i-${i}`)!.pace.apply(pace, 0);
  }
  const counts = paces.map(() => 0);
  for (let i = 0; i < CHOICES; i++) {
    const server = chooseServer("s", [], 0, context)!;
    counts[Number(server.id.slice(2))] += 1;
  }
  return counts.map((count) => count / CHOICES);
}

// Guards against VMs that all take a server without observations for idle and
// send their next request there.
test("server choice: a server gets about its pace of the share of a usual one", (t) => {
  const [paced, ...usual] = shares([0.25, 1, 1, 1]);
  const mean = usual.reduce((a, b) => a + b) / usual.length;
  t.true(paced > 0.15 * mean && paced < 0.35 * mean, `${paced / mean}`);
});

test("server choice: if all servers have just started, all are used", (t) => {
  for (const share of shares([0.25, 0.25, 0.25, 0.25])) {
    t.true(share > 0.2 && share < 0.3, `${share}`);
  }
});
