import test from "ava";
import { Fleet } from "../fleet/index.ts";
import { ServerPaths } from "./server_paths.ts";
import { ServerReach } from "./server_reach.ts";

/** A reach in which no server responds until `answered` is set. */
function silentReach() {
  const state = { answered: false };
  const reach = ServerReach.create(Fleet.create(), () => 0);
  Object.defineProperty(reach, "isSilent", { get: () => !state.answered });
  return { reach, state };
}

/** Paths of a VM whose only relay has failed for a second. */
function handedOverPaths() {
  const { reach, state } = silentReach();
  const paths = ServerPaths.create(reach);
  paths.relays.replace(["vm-1"]);
  paths.relays.failed("vm-1", 0);
  paths.mustHandOver(0);
  return { paths, state };
}

test("paths: VMs that a new term holder names, and that are not tried yet, end no handover", (t) => {
  const { paths } = handedOverPaths();
  t.true(paths.mustHandOver(1_000));
  paths.relays.replace(["vm-2", "vm-3"]);
  t.true(paths.mustHandOver(1_100));
  paths.relays.started("a", "vm-2", 100, 1_200);
  paths.relays.answered("a", 1_300);
  t.false(paths.mustHandOver(1_300));
});

test("paths: a handover ends when a server responds directly", (t) => {
  const { paths, state } = handedOverPaths();
  t.true(paths.mustHandOver(1_000));
  state.answered = true;
  t.false(paths.mustHandOver(1_100));
});

test("paths: before a handover, other VMs that may work count as a path", (t) => {
  const { paths } = handedOverPaths();
  t.false(paths.mustHandOver(500));
  paths.relays.replace(["vm-2"]);
  t.false(paths.mustHandOver(600));
  t.false(paths.mustHandOver(1_500));
});
