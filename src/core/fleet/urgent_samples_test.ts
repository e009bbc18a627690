import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { Fleet } from "./fleet.ts";

// Guards against failures, and responses of paced servers, that the term holder
// learns of seconds late, and against samples that are lost until then.
test("samples: those of failing and paced servers are urgent, the others are kept", (t) => {
  const fleet = Fleet.create();
  const ids = ["usual", "failing", "paced"];
  fleet.apply(ids.map((id) => backendServer(id)), [], 0);
  fleet.get("paced")!.pace.apply(0.5, 0);
  for (const [i, id] of ids.entries()) {
    const server = fleet.get(id)!;
    server.started(i, 0);
    if (id === "failing") server.failed(i, 100);
    else server.answered(i, 100, null);
  }
  const take = (mustBeUrgent: boolean) =>
    fleet.takeSamples("s", 200, mustBeUrgent);
  t.deepEqual(take(true), [
    { server: "failing", mean: 0, count: 0, failures: 1 },
    { server: "paced", mean: 100, count: 1 },
  ]);
  t.deepEqual(take(false), [{ server: "usual", mean: 100, count: 1 }]);
});
