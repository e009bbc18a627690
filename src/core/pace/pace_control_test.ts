/**
 * Servers that start or recover under load, with VMs that report each half
 * second and act on the paces of the last answer. Guards against a started
 * server that all VMs flood at once, since each of them takes it for idle, and
 * against one that stays idle although it is warm.
 */
import test from "ava";
import { createUniformGenerator } from "../random.ts";
import { KnownPace } from "./known_pace.ts";
import { PaceControl } from "./pace_control.ts";

const SERVERS = 8;
const SLOTS = 4;
const QUEUE = 16;
const WORK = 100;
/** Requests per second that all servers can run if they are usual. */
const CAPACITY = SERVERS * SLOTS * 1_000 / WORK;
const REPORT_INTERVAL = 500;
/** Time within which callers should receive a response. */
const TARGET = 400;
const STARTED_AT = 2_000;
const UNTIL = 10_000;

/** How a server behaves at a time: its work factor, and whether it fails. */
interface Behavior {
  factor: number;
  fails?: boolean;
}

interface Case {
  vms: number;
  /** Number of servers that start at {@linkcode STARTED_AT}. */
  started: number;
  /** Behaviour of those servers, by the time since their start. */
  behavior(since: number): Behavior;
  isPaced?: boolean;
  /** Requests per second, as a share of the capacity; 0.7 if left out. */
  load?: number;
  seed?: number;
}

interface Result {
  /** Latest number of requests waiting at a started server. */
  longestQueue: number;
  /** Late share of the requests at started servers and at the others. */
  late: { started: number; usual: number };
  /** Requests at started servers by 250 ms since their start. */
  counts: number[];
  failed: number;
}

/** Runs a case, and returns what callers and servers saw. */
function run(
  { vms, started, behavior, isPaced = true, load = 0.7, seed = 1 }: Case,
): Result {
  const rate = load * CAPACITY;
  const draw = createUniformGenerator(seed);
  const control = PaceControl.create();
  const slots = Array.from({ length: SERVERS }, () => Array(SLOTS).fill(0));
  const starts: number[][] = slots.map(() => []);
  const latencies: number[] = slots.map(() => WORK);
  const known = Array.from(
    { length: vms },
    () => slots.map(() => KnownPace.create()),
  );
  /** Ends of requests that each VM has not reported: time, latency, failure. */
  const ended: { vm: number; server: number; at: number; took: number }[] = [];
  const tally = { started: [0, 0], usual: [0, 0] };
  const result: Result = {
    longestQueue: 0,
    late: { started: 0, usual: 0 },
    counts: [],
    failed: 0,
  };
  const isStarted = (server: number) => server < started;
  let nextArrival = 0;
  for (let now = 0; now < UNTIL; now++) {
    if (now === STARTED_AT) {
      for (let i = 0; i < started && isPaced; i++) {
        control.started(`${i}`, now);
        for (const each of known) each[i].apply(control.paceOf(`${i}`), now);
      }
    }
    while (nextArrival <= now) {
      nextArrival -= Math.log(draw()) * 1_000 / rate;
      const vm = Math.floor(draw() * vms);
      // Slower servers get fewer requests, as their cost is higher.
      const shares = known[vm].map((each, i) =>
        isStarted(i) && now < STARTED_AT ? 0 : each.at(now) / latencies[i]
      );
      const top = Math.max(...shares);
      const candidates = [...shares.keys()].filter((i) =>
        shares[i] > 0 && draw() <= shares[i] / top
      );
      if (candidates.length === 0) continue;
      const server = candidates[Math.floor(draw() * candidates.length)];
      const { factor, fails = false } = isStarted(server)
        ? behavior(now - STARTED_AT)
        : { factor: 1 };
      if (isStarted(server)) {
        const bin = Math.floor((now - STARTED_AT) / 250);
        result.counts[bin] = (result.counts[bin] ?? 0) + 1;
      }
      if (fails) {
        result.failed += 1;
        ended.push({ vm, server, at: now + 5, took: -1 });
        continue;
      }
      const slot = slots[server].indexOf(Math.min(...slots[server]));
      const start = Math.max(now, slots[server][slot]);
      const work = -Math.log(draw()) * WORK * factor;
      slots[server][slot] = start + work;
      starts[server].push(start);
      const took = start + work - now;
      const kind = isStarted(server) ? "started" : "usual";
      tally[kind][took > TARGET ? 1 : 0] += 1;
      ended.push({ vm, server, at: now + took, took: work });
    }
    for (const [i, queue] of starts.entries()) {
      while (queue[0] <= now) queue.shift();
      if (isStarted(i)) {
        result.longestQueue = Math.max(result.longestQueue, queue.length);
      }
    }
    for (let vm = 0; vm < vms; vm++) {
      const phase = Math.floor(REPORT_INTERVAL * vm / vms);
      if (now % REPORT_INTERVAL !== phase) continue;
      for (let i = ended.length - 1; i >= 0; i--) {
        if (ended[i].vm !== vm || ended[i].at > now) continue;
        const [{ server, took }] = ended.splice(i, 1);
        if (took >= 0) latencies[server] += 0.03 * (took - latencies[server]);
        control.observe(`${server}`, {
          count: took < 0 ? 0 : 1,
          mean: Math.max(0, took),
          failures: took < 0 ? 1 : 0,
          requestsPerSlot: starts[server].length / SLOTS + 1,
        }, now);
      }
      for (const [server, each] of known[vm].entries()) {
        each.apply(control.paceOf(`${server}`), now);
      }
    }
    if (now % 50 === 0) control.advance(() => WORK, now);
  }
  for (const kind of ["started", "usual"] as const) {
    const [inTime, late] = tally[kind];
    result.late[kind] = late / Math.max(1, inTime + late);
  }
  return result;
}

/** Requests of a usual server in 250 ms. */
const USUAL_COUNT = 0.7 * CAPACITY / SERVERS / 4;
const warm = () => ({ factor: 1 });

for (const vms of [4, 11, 74, 195]) {
  test(`pace: one warm server of 8 starts, ${vms} VMs: it is used within a second and not flooded`, (t) => {
    const { counts, longestQueue, late } = run({
      vms,
      started: 1,
      behavior: warm,
    });
    const used = counts.slice(5, 21).reduce((a, b) => a + b) / 16 / USUAL_COUNT;
    t.true(used >= 0.9, `${used} of the usual requests after 1.25 s`);
    t.true(counts[0] <= 0.75 * USUAL_COUNT, `${counts[0]} in the first 250 ms`);
    t.true(longestQueue < QUEUE, `queue of ${longestQueue}`);
    t.true(late.started <= late.usual * 1.1 + 0.01, JSON.stringify(late));
  });

  test(`pace: half of 8 servers start cold for 3 s, ${vms} VMs: their queues are never full`, (t) => {
    const { longestQueue } = run({
      vms,
      started: 4,
      behavior: (since) => ({ factor: since < 3_000 ? 2 : 1 }),
      load: 0.5,
    });
    t.true(longestQueue < QUEUE, `queue of ${longestQueue}`);
  });

  test(`pace: a server that fails quickly gets few requests, ${vms} VMs`, (t) => {
    const failing: Case = {
      vms,
      started: 1,
      behavior: (since) => ({ factor: 1, fails: since < 4_000 }),
    };
    const { failed } = run(failing);
    const unpaced = run({ ...failing, isPaced: false });
    t.true(
      failed < 0.3 * 16 * USUAL_COUNT,
      `${failed}, ${unpaced.failed} without a pace at the start`,
    );
    // A single run has too few requests for a mean within a tenth.
    const runs = Array.from({ length: 12 }, (_, i) => i + 1).map((seed) =>
      run({ ...failing, seed }).counts
    );
    const used = runs.flatMap((each) => each.slice(24, 32))
      .reduce((a, b) => a + b) / 96 / USUAL_COUNT;
    t.true(used >= 0.9, `${used} from 2 s after it has recovered`);
  });
}

test("pace: all servers start at once and share all requests, since there is no other", (t) => {
  const { counts } = run({ vms: 74, started: SERVERS, behavior: warm });
  t.true(counts[1] >= 0.8 * USUAL_COUNT * SERVERS, `${counts[1]}`);
});

test("pace: a permanently slow server reaches its full pace", (t) => {
  const control = PaceControl.create();
  control.started("slow", 0);
  for (let now = 0; now <= 2_000; now += 250) {
    const observation = {
      count: 4,
      mean: 250,
      failures: 0,
      requestsPerSlot: 0.8,
    };
    control.observe("slow", observation, now);
    control.advance(() => 100, now);
  }
  t.is(control.paceOf("slow"), 1);
});

test("pace: a server that becomes cold again while it is watched is slowed at once", (t) => {
  const control = PaceControl.create();
  control.started("s", 0);
  const observe = (mean: number, now: number) => {
    const load = { failures: 0, requestsPerSlot: 0.5 };
    control.observe("s", { count: 4, mean, ...load }, now);
    control.advance(() => 100, now);
    return control.paceOf("s");
  };
  for (let now = 250; now <= 1_500; now += 250) observe(100, now);
  t.is(control.paceOf("s"), 1);
  t.is(observe(400, 1_750), 0.5);
});

test("pace: a full server is slowed, and a single failure by chance starts no pace", (t) => {
  const control = PaceControl.create();
  const observation = { count: 1, mean: 100, failures: 0, requestsPerSlot: 3 };
  control.started("full", 0, 0.5);
  control.observe("full", observation, 100);
  control.advance(() => 100, 250);
  t.is(control.paceOf("full"), 0.25);
  control.observe("one", { ...observation, failures: 1 }, 300);
  control.advance(() => 100, 300);
  t.is(control.paceOf("one"), 1);
});

test("known pace: without answers a server is used fully after some seconds", (t) => {
  const pace = KnownPace.create();
  t.is(pace.at(0), 1);
  pace.apply(0.25, 1_000);
  t.is(pace.at(2_000), 0.25);
  t.true(pace.at(3_000) > 0.25 && pace.at(3_000) < 1);
  t.is(pace.at(5_200), 1);
});
