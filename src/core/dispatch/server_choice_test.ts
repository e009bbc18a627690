import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { type ReportedLoad, TrackedServer } from "../fleet/index.ts";
import { hasCapacity } from "./server_choice.ts";

/**
 * Number of requests that one of eight VMs may send at `now` to a server with 3
 * slots, after a response at 100 ms that reported `load`.
 */
function capacity(load: ReportedLoad | null, now: number): number {
  const server = TrackedServer.create(backendServer("i", { address: "h:1" }));
  server.started(0, 0);
  server.answered(0, 100, load);
  let count = 0;
  while (hasCapacity(server, now, 8)) server.started(count += 1, now);
  return count;
}

test("server capacity: a VM may fill the slots of a server that has just reported a low load", (t) => {
  const idle = { running: 0, waiting: 0, slots: 3 };
  const full = { running: 3, waiting: 2, slots: 3 };
  t.deepEqual(
    {
      unknown: capacity(null, 150),
      idle: capacity(idle, 150),
      full: capacity(full, 150),
    },
    { unknown: 2, idle: 3, full: 2 },
  );
  t.is(capacity(idle, 600), 2);
});

test("server capacity: a VM that does not know the load may use half of the slots, and fewer after a refusal", (t) => {
  const create = () =>
    TrackedServer.create(backendServer("i", { address: "h:1", slots: 6 }));
  const countAccepted = (
    server: TrackedServer,
    firstAttempt: number,
    now: number,
  ) => {
    let count = 0;
    while (hasCapacity(server, now, 91)) {
      server.started(firstAttempt + count, now);
      count += 1;
    }
    return count;
  };
  t.is(countAccepted(create(), 0, 10_000), 3);
  const overloaded = create();
  overloaded.started(0, 0);
  overloaded.refused(0, 5, null);
  t.is(countAccepted(overloaded, 1, 400), 1);
  t.is(countAccepted(overloaded, 10, 1_000), 2);
});
