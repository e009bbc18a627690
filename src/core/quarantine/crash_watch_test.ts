import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import { Fleet } from "../fleet/index.ts";
import { CrashWatch } from "./crash_watch.ts";
import { Quarantine } from "./quarantine.ts";

const REQUEST = {
  id: "r",
  target: "h/",
  fingerprint: fingerprintOf("/").whole,
};

/** A watch over servers `s-1` to `s-3`. */
function createWatch() {
  const fleet = Fleet.create();
  fleet.apply(["s-1", "s-2", "s-3"].map((id) => backendServer(id)), [], 0);
  const quarantine = Quarantine.create();
  const watch = CrashWatch.create(quarantine, () => {});
  const ends = () => quarantine.endsUnder(REQUEST.fingerprint);
  const server = (id: string) => fleet.get(id)!;
  return { fleet, watch, ends, server };
}

test("crash watch: a broken attempt accuses nobody while its server may live", (t) => {
  const { watch, ends, server } = createWatch();
  watch.broke(server("s-1"), REQUEST, 0);
  watch.found("s-1");
  t.is(ends(), 0);
});

test("crash watch: an address that refuses accuses what broke there before and after", (t) => {
  const { watch, ends, server } = createWatch();
  watch.broke(server("s-1"), REQUEST, 0);
  watch.ended(server("s-1"), 5);
  t.is(ends(), 1);
  watch.ended(server("s-2"), 10);
  watch.broke(server("s-2"), REQUEST, 12);
  t.is(ends(), 2);
});

test("crash watch: the registry's word accuses what broke a short time before", (t) => {
  const { watch, ends, server, fleet } = createWatch();
  watch.broke(server("s-1"), REQUEST, 0);
  watch.broke(server("s-2"), REQUEST, 0);
  watch.changed(fleet.apply([], ["s-1"], 4_000), 4_000);
  t.is(ends(), 1);
  watch.changed(fleet.apply([], ["s-2"], 9_000), 9_000);
  t.is(ends(), 1);
});

test("crash watch: a server that starts again under its id has ended before", (t) => {
  const { watch, ends, server, fleet } = createWatch();
  watch.broke(server("s-1"), REQUEST, 0);
  const next = backendServer("s-1", { incarnation: 2 });
  watch.changed(fleet.apply([next], [], 500), 500);
  t.is(ends(), 1);
  watch.broke(server("s-1"), REQUEST, 1_000);
  watch.ended(server("s-1"), 1_001);
  t.is(ends(), 2);
});

test("crash watch: a server that leaves ends by itself", (t) => {
  const { watch, ends, server, fleet } = createWatch();
  const leave = (id: string) =>
    fleet.apply([backendServer(id, { isDraining: true })], [], 0);
  watch.changed(leave("s-1"), 0);
  watch.broke(server("s-1"), REQUEST, 10);
  watch.ended(server("s-1"), 20);
  watch.broke(server("s-2"), REQUEST, 10);
  watch.changed(leave("s-2"), 20);
  watch.changed(fleet.apply([], ["s-2"], 30), 30);
  t.is(ends(), 0);
});

test("crash watch: a server is looked at once, and ever less often while it is found there", (t) => {
  const { watch, server } = createWatch();
  const looks: number[] = [];
  for (let now = 0; now < 20_000; now += 100) {
    if (watch.broke(server("s-1"), REQUEST, now) === null) continue;
    looks.push(now);
    watch.found("s-1");
  }
  t.deepEqual(looks, [0, 2_000, 6_000, 14_000]);
});
