import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import { Fleet } from "../fleet/index.ts";
import { CrashDetector } from "./crash_detector.ts";
import { Quarantine } from "./quarantine.ts";

const REQUEST = {
  id: "r",
  target: "h/",
  fingerprint: fingerprintOf("/").complete,
};

/** A crash watch with servers `s-1` to `s-3`. */
function createWatch() {
  const fleet = Fleet.create();
  fleet.apply(["s-1", "s-2", "s-3"].map((id) => backendServer(id)), [], 0);
  const quarantine = Quarantine.create();
  const watch = CrashDetector.create(quarantine, () => {});
  const crashes = () => quarantine.crashCountOf(REQUEST.fingerprint);
  const server = (id: string) => fleet.get(id)!;
  return { fleet, watch, ends: crashes, server };
}

test("crash watch: a broken connection counts as no crash while the server may be running", (t) => {
  const { watch, ends, server } = createWatch();
  watch.connectionBroke(server("s-1"), REQUEST, 0);
  watch.probeSucceeded("s-1");
  t.is(ends(), 0);
});

test("crash watch: a refused connection attributes a crash to requests that broke before and after", (t) => {
  const { watch, ends, server } = createWatch();
  watch.connectionBroke(server("s-1"), REQUEST, 0);
  watch.ended(server("s-1"), 5);
  t.is(ends(), 1);
  watch.ended(server("s-2"), 10);
  watch.connectionBroke(server("s-2"), REQUEST, 12);
  t.is(ends(), 2);
});

test("crash watch: a removal from the registry attributes a crash to requests that broke recently", (t) => {
  const { watch, ends, server, fleet } = createWatch();
  watch.connectionBroke(server("s-1"), REQUEST, 0);
  watch.connectionBroke(server("s-2"), REQUEST, 0);
  watch.changed(fleet.apply([], ["s-1"], 4_000), 4_000);
  t.is(ends(), 1);
  watch.changed(fleet.apply([], ["s-2"], 9_000), 9_000);
  t.is(ends(), 1);
});

test("crash watch: a restart attributes a crash to requests of the previous incarnation", (t) => {
  const { watch, ends, server, fleet } = createWatch();
  watch.connectionBroke(server("s-1"), REQUEST, 0);
  const next = backendServer("s-1", { incarnation: 2 });
  watch.changed(fleet.apply([next], [], 500), 500);
  t.is(ends(), 1);
  watch.connectionBroke(server("s-1"), REQUEST, 1_000);
  watch.ended(server("s-1"), 1_001);
  t.is(ends(), 2);
});

test("crash watch: the end of a draining server is not a crash", (t) => {
  const { watch, ends, server, fleet } = createWatch();
  const leave = (id: string) =>
    fleet.apply([backendServer(id, { isDraining: true })], [], 0);
  watch.changed(leave("s-1"), 0);
  watch.connectionBroke(server("s-1"), REQUEST, 10);
  watch.ended(server("s-1"), 20);
  watch.connectionBroke(server("s-2"), REQUEST, 10);
  watch.changed(leave("s-2"), 20);
  watch.changed(fleet.apply([], ["s-2"], 30), 30);
  t.is(ends(), 0);
});

test("crash watch: probes a server at once, then with exponential backoff while it responds", (t) => {
  const { watch, server } = createWatch();
  const probeTimes: number[] = [];
  for (let now = 0; now < 20_000; now += 100) {
    if (watch.connectionBroke(server("s-1"), REQUEST, now) === null) continue;
    probeTimes.push(now);
    watch.probeSucceeded("s-1");
  }
  t.deepEqual(probeTimes, [0, 2_000, 6_000, 14_000]);
});
