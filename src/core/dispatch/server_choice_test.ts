import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { type ReportedLoad, TrackedServer } from "../fleet/index.ts";
import { hasRoom } from "./server_choice.ts";

/** Requests that one of eight VMs sends to a server with 3 slots at `now`,
 * after an answer that stated `load` at 100. */
function room(load: ReportedLoad | null, now: number): number {
  const server = TrackedServer.create(backendServer("i", { address: "h:1" }));
  server.started(0, 0);
  server.answered(0, 100, load);
  let count = 0;
  while (hasRoom(server, now, 8)) server.started(count += 1, now);
  return count;
}

test("room: a VM may fill a server's slots while it knows that others leave them", (t) => {
  const idle = { running: 0, waiting: 0, slots: 3 };
  const full = { running: 3, waiting: 2, slots: 3 };
  t.deepEqual(
    { unknown: room(null, 150), idle: room(idle, 150), full: room(full, 150) },
    { unknown: 2, idle: 3, full: 2 },
  );
  t.is(room(idle, 600), 2);
});

test("room: many VMs that hear of a server seldom may each have a few requests there", (t) => {
  const create = () =>
    TrackedServer.create(backendServer("i", { address: "h:1", slots: 6 }));
  const fill = (server: TrackedServer, from: number, now: number) => {
    let count = 0;
    while (hasRoom(server, now, 91)) {
      server.started(from + count, now);
      count += 1;
    }
    return count;
  };
  t.is(fill(create(), 0, 10_000), 3);
  const refusing = create();
  refusing.started(0, 0);
  refusing.refused(0, 5, null);
  t.is(fill(refusing, 1, 400), 1);
  t.is(fill(refusing, 10, 1_000), 2);
});
