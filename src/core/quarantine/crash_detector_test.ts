import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import { serverStatement } from "../../../test/support/server_statement.ts";
import { Fleet } from "../fleet/index.ts";
import { CrashDetector } from "./crash_detector.ts";
import { Quarantine } from "./quarantine.ts";

const REQUEST = {
  id: "r",
  target: "h/",
  fingerprint: fingerprintOf("/").complete,
};

/** Creates a crash detector for servers `s-1` to `s-3`. */
function createDetector() {
  const fleet = Fleet.create();
  fleet.apply(["s-1", "s-2", "s-3"].map((id) => backendServer(id)), [], 0);
  const quarantine = Quarantine.create();
  const detector = CrashDetector.create(quarantine, () => {});
  const crashCount = () => quarantine.crashCountOf(REQUEST.fingerprint);
  const server = (id: string) => fleet.get(id)!;
  return { fleet, detector, crashCount, server };
}

test("crash detector: a broken connection counts as no crash while the server may be running", (t) => {
  const { detector, crashCount, server } = createDetector();
  detector.connectionBroke(server("s-1"), REQUEST, 0);
  detector.probeSucceeded("s-1");
  t.is(crashCount(), 0);
});

test("crash detector: a refused connection attributes a crash to requests whose connections broke before and after", (t) => {
  const { detector, crashCount, server } = createDetector();
  detector.connectionBroke(server("s-1"), REQUEST, 0);
  detector.exited(server("s-1"), 5);
  t.is(crashCount(), 1);
  detector.exited(server("s-2"), 10);
  detector.connectionBroke(server("s-2"), REQUEST, 12);
  t.is(crashCount(), 2);
});

test("crash detector: a removal from the registry attributes a crash to requests whose connections broke recently", (t) => {
  const { detector, crashCount, server, fleet } = createDetector();
  detector.connectionBroke(server("s-1"), REQUEST, 0);
  detector.connectionBroke(server("s-2"), REQUEST, 0);
  detector.applyServerChanges(fleet.apply([], ["s-1"], 4_000), 4_000);
  t.is(crashCount(), 1);
  detector.applyServerChanges(fleet.apply([], ["s-2"], 9_000), 9_000);
  t.is(crashCount(), 1);
});

test("crash detector: a restart attributes a crash to requests of the previous incarnation", (t) => {
  const { detector, crashCount, server, fleet } = createDetector();
  detector.connectionBroke(server("s-1"), REQUEST, 0);
  const next = backendServer("s-1", { incarnation: 2 });
  detector.applyServerChanges(fleet.apply([next], [], 500), 500);
  t.is(crashCount(), 1);
  detector.connectionBroke(server("s-1"), REQUEST, 1_000);
  detector.exited(server("s-1"), 1_001);
  t.is(crashCount(), 2);
});

test("crash detector: the exit of a draining server is not a crash", (t) => {
  const { detector, crashCount, server, fleet } = createDetector();
  const startDraining = (id: string) =>
    fleet.apply([backendServer(id, { isDraining: true })], [], 0);
  detector.applyServerChanges(startDraining("s-1"), 0);
  detector.connectionBroke(server("s-1"), REQUEST, 10);
  detector.exited(server("s-1"), 20);
  detector.connectionBroke(server("s-2"), REQUEST, 10);
  detector.applyServerChanges(startDraining("s-2"), 20);
  detector.applyServerChanges(fleet.apply([], ["s-2"], 30), 30);
  t.is(crashCount(), 0);
});

test("crash detector: probes a server at once, then with exponential backoff while it responds", (t) => {
  const { detector, server } = createDetector();
  const probeTimes: number[] = [];
  for (let at = 0; at < 20_000; at += 100) {
    if (detector.connectionBroke(server("s-1"), REQUEST, at) === null) continue;
    probeTimes.push(at);
    detector.probeSucceeded("s-1");
  }
  t.deepEqual(probeTimes, [0, 2_000, 6_000, 14_000]);
});

// Guards against a crash that is attributed seconds late. One in six crashed
// processes still accepted a connection when it had reset the others.
test("crash detector: a successful probe is repeated, since the process may be exiting", (t) => {
  const { detector, crashCount, server } = createDetector();
  t.is(detector.nextAt(), Infinity);
  t.not(detector.connectionBroke(server("s-1"), REQUEST, 0), null);
  detector.probeSucceeded("s-1");
  t.is(detector.nextAt(), 20);
  t.deepEqual(detector.advance(19), []);
  t.deepEqual(detector.advance(20).map((each) => each.server), ["s-1"]);
  t.is(detector.nextAt(), Infinity);
  detector.probeSucceeded("s-1");
  t.deepEqual(detector.advance(100).map((each) => each.server), ["s-1"]);
  detector.exited(server("s-1"), 101);
  t.is(crashCount(), 1);
  t.deepEqual(detector.advance(10_000), []);
});

test("crash detector: a server that keeps responding is probed three times for a broken connection", (t) => {
  const { detector, server } = createDetector();
  detector.connectionBroke(server("s-1"), REQUEST, 0);
  let probes = 1;
  for (let now = 0; now < 900; now += 10) {
    detector.probeSucceeded("s-1");
    probes += detector.advance(now).length;
  }
  t.is(probes, 3);
});

// Guards against probes of a server during the backoff that it has requested.
test("crash detector: a server with a backoff is probed at its end", (t) => {
  const { detector, server } = createDetector();
  const statement = serverStatement({ backoff: 2_000 });
  server("s-1").statements.apply(statement, 0, 100);
  t.is(detector.connectionBroke(server("s-1"), REQUEST, 200), null);
  t.is(detector.nextAt(), 2_100);
  t.deepEqual(detector.advance(2_099), []);
  t.deepEqual(detector.advance(2_100).map(({ server }) => server), ["s-1"]);
});

test("crash detector: the exit of a server that has stated that it is leaving is not a crash", (t) => {
  const { detector, crashCount, server } = createDetector();
  const statement = serverStatement({ isLeaving: true });
  server("s-1").statements.apply(statement, 0, 100);
  t.is(detector.connectionBroke(server("s-1"), REQUEST, 200), null);
  detector.exited(server("s-1"), 210);
  t.is(crashCount(), 0);
});
