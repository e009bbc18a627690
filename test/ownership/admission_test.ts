/**
 * A burst of requests of three priorities to a service whose servers cannot run
 * all, with the core of all VMs. Guards against urgent requests that wait or are
 * refused while less urgent ones run.
 */
import test from "ava";
import { NO_FEATURES } from "../../src/core/features.ts";
import type { LoadOptions } from "./request_load.ts";
import { Simulation } from "./simulation.ts";

const FROM = 9_000;
const BURST = { from: 12_000, until: 18_000, factor: 2.2 };
/** 30 servers with 4 slots run 400 requests per second; 0.8 without the burst. */
const LOAD: LoadOptions = {
  from: FROM,
  until: 21_000,
  rate: 320,
  burst: BURST,
  priorityShares: [0.3, 0.3, 0.4],
  work: 300,
  speeds: [1],
  slots: 4,
  queue: 16,
  target: 1_500,
  timeout: 5_000,
  keyOf: (draw) => Math.floor(draw() * 65_536),
};

function run(isKeyed: boolean, admitsByPriority: boolean) {
  const { load, violations } = Simulation.runToEnd({
    vms: 40,
    servers: 30,
    faults: [],
    duration: 30_000,
    seed: 1,
    fitness: Array.from({ length: 40 }, (_, i) => i < 8 ? 5 : 1),
    load: { ...LOAD, isKeyed },
    features: { ...NO_FEATURES, admitsByPriority },
  });
  const inBurst = load!.results.filter(({ startedAt }) =>
    startedAt >= BURST.from && startedAt < BURST.until
  );
  /** Share of a priority's requests in the burst with a result. */
  const share = (priority: number, name: string) => {
    const all = inBurst.filter(({ target }) =>
      target.startsWith(`/p${priority}/`)
    );
    return all.filter((each) => each.name === name).length / all.length;
  };
  const inTime = load!.results.filter(({ name }) => name === "inTime").length;
  const counts = load!.counts(() => true);
  const before =
    load!.results.filter(({ startedAt, name }) =>
      startedAt < BURST.from && name !== "inTime"
    ).length;
  return { load: load!, violations, share, inTime, counts, before };
}

for (const isKeyed of [false, true]) {
  test(`admission in a burst, ${isKeyed ? "with" : "without"} keys`, (t) => {
    const off = run(isKeyed, false);
    const on = run(isKeyed, true);
    for (const { share, inTime, before, load, counts } of [off, on]) {
      const shares = [0, 1, 2].map((priority) =>
        ["inTime", "late", "refused", "failed"].map((name) =>
          share(priority, name).toFixed(3)
        ).join(" ")
      ).join(", ");
      const wait = counts.refusalTime / Math.max(1, counts.refusals);
      t.log(
        `in time, late, refused, failed by priority: ${shares}; ` +
          `${inTime} in time, ${before} not before, ${load.resets} resets, ` +
          `refused after ${wait.toFixed(0)}, ${counts.longestRefusal} ms`,
      );
    }
    t.deepEqual(on.violations, []);
    // Keys are spread unevenly, so that some servers cannot run all urgent
    // requests for theirs in time.
    t.true(on.share(0, "inTime") > (isKeyed ? 0.85 : 0.98));
    t.true(on.share(0, "inTime") > off.share(0, "inTime") + 0.4);
    t.true(on.load.resets <= off.load.resets / 10);
    t.true(on.counts.refusalTime / on.counts.refusals < 20);
    t.is(on.load.falseRefusals, 0);
    t.true(on.before <= off.before + 10, "no effect before the burst");
  });
}
