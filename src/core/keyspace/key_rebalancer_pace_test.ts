import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { Fleet } from "../fleet/index.ts";
import { KeyLoads } from "./key_load.ts";
import { KeyRebalancer } from "./key_rebalancer.ts";

/** Speeds of servers that were listed at `listedAt`, with paces, at 10 s. */
function speeds(servers: readonly { listedAt: number; pace: number }[]) {
  const fleet = Fleet.create();
  for (const [i, { listedAt, pace }] of servers.entries()) {
    fleet.apply([backendServer(`i-${i}`)], [], listedAt);
    fleet.get(`i-${i}`)!.pace.apply(pace, 10_000);
  }
  const rebalancer = KeyRebalancer.create(fleet, KeyLoads.create());
  return rebalancer.eligibleServers("s", new Set(), 10_000)
    .map(({ speed }) => speed);
}

const OLD = { listedAt: 0, pace: 1 };

test("rebalancer: a new server gets keys by its pace, an older one by its speed", (t) => {
  t.deepEqual(
    speeds([OLD, OLD, { listedAt: 9_000, pace: 0.25 }, {
      ...OLD,
      pace: 0.5,
    }]),
    [1, 1, 0.25, 1],
  );
});

// At the start of a deployment, servers join over some seconds. With different
// paces, keys would be assigned unevenly and move again when the paces rise.
test("rebalancer: while most servers are new, their paces do not count", (t) => {
  t.deepEqual(
    speeds([
      { listedAt: 8_000, pace: 1 },
      { listedAt: 9_000, pace: 0.5 },
      { listedAt: 9_500, pace: 0.25 },
      OLD,
    ]),
    [1, 1, 1, 1],
  );
});
