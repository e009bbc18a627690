import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { TrackedServer } from "../fleet/index.ts";
import { hasBodyRoom } from "./body_room.ts";

/** Bytes of further bodies that a server with 4 slots takes besides one. */
function room(vmCount: number | null): number {
  const server = TrackedServer.create(
    backendServer("i", { address: "h:1", slots: 4 }),
  );
  server.started(1, 0, 1);
  let bytes = 0;
  while (hasBodyRoom(server, bytes + 1, 4_096, vmCount)) bytes += 1;
  return bytes;
}

test("body room: VMs have equal shares of what a server's slots take", (t) => {
  t.is(room(64), 255);
  // An unknown number of VMs counts as large.
  t.true(room(null) < room(195));
});
