/**
 * Simulates the retries of many VMs to one service. Each VM takes every retry
 * that it may, so that the sum over all VMs must stay within the budget by the
 * policy alone.
 */
import test from "ava";
import { retryExcess } from "../../../test/support/retry_excess.ts";
import type { DispatchContext } from "./dispatch_context.ts";
import type { PendingRequest } from "./request.ts";
import { SHARE_LIFETIME, ShareLedger } from "../rates/index.ts";
import type { RetryLimits } from "./retry_budget.ts";
import { RetryPolicy } from "./retry_policy.ts";

const SERVICE = "stock";
const UNTIL = 50_000;
const STEP = 50;
/** Time of the first fault, in milliseconds. */
const FAULT_AT = 20_400;
/** Number of retries that each request needs while servers fail. */
const RETRIES_PER_REQUEST = 3;
/** Timeout of a request, in milliseconds; its connection is closed then. */
const TIMEOUT = 2_000;

/** Numbers of VMs, each with the minimum of the budget. */
const SIZES = [[4, 56], [11, 62], [61, 162], [195, 430], [300, 430]];

interface Situation {
  vms: number;
  /** Requests per second to all VMs. */
  rate: number;
  /** Whether servers fail all requests at a time. */
  isFailing: (now: number) => boolean;
  /** When terms start, ascending; the last one before a time is its term. */
  terms: readonly number[];
  /** Whether the reports of a VM reach the term holder at a time. */
  isReporting: (vm: number, now: number) => boolean;
  /** Times at which a VM, one of `vms`, restarts. */
  restartsOf: (vm: number, vms: number) => readonly number[];
  /** Whether a VM gets no requests at a time; its callers use the others. */
  isAway: (vm: number, now: number) => boolean;
  /** When a retry that a VM sends at a time reaches a server; at once if absent. */
  arrivalOf?: (vm: number, now: number) => number;
  /** When a VM stalls; requests that it is sent wait to be read; or null. */
  stallOf?: (vm: number) => { from: number; until: number } | null;
}

/** Time between two reports of a VM to the term holder. */
const REPORT_INTERVAL = 500;

/** Returns the policy of a process that starts at `startedAt`. */
function createPolicy(
  retryLimits: RetryLimits,
  startedAt: number,
  minimumShare: (now: number) => number,
): RetryPolicy {
  const context = { retryLimits, startedAt: () => startedAt, minimumShare };
  return RetryPolicy.create(context as unknown as DispatchContext);
}

/** The term holders, which grant shares of the minimum one after the other. */
class Holders {
  #term = -1;
  #ledger: ShareLedger;

  constructor(
    private readonly terms: readonly number[],
    private readonly windowSeconds: number,
  ) {
    this.#ledger = ShareLedger.create(windowSeconds);
  }

  /** Answers the report of a VM with its share. */
  answer(vm: number, now: number): number {
    const term = this.terms.findLastIndex((startsAt) => startsAt <= now);
    if (term < 0) return 0;
    if (term !== this.#term) {
      this.#ledger = ShareLedger.create(this.windowSeconds);
      this.#ledger.startTerm(this.terms[term]);
    }
    this.#term = term;
    return this.#ledger.renew(`vm-${vm}`, now);
  }
}

/** Times of the requests and of the arrivals of their retries. */
interface Arrivals {
  requests: number[];
  retries: number[];
}

/** Returns what all VMs send. */
function simulate(situation: Situation, limits: RetryLimits): Arrivals {
  const { vms, rate, isFailing, isReporting, restartsOf, isAway } = situation;
  const arrivalOf = situation.arrivalOf ?? ((_, at) => at);
  const stallOf = situation.stallOf ?? (() => null);
  const holders = new Holders(situation.terms, limits.windowSeconds);
  let now = 0;
  const shares = Array.from(
    { length: vms },
    () => ({ share: 0, expiresAt: -Infinity }),
  );
  const create = (vm: number) =>
    createPolicy(
      limits,
      now === 0 ? -60_000 : now,
      (at) => at < shares[vm].expiresAt ? shares[vm].share : 0,
    );
  const policies = Array.from({ length: vms }, (_, vm) => create(vm));
  const requests: number[] = [];
  const retries: number[] = [];
  const backlog = new Array<number>(vms).fill(0);
  const unread = Array.from({ length: vms }, (): number[] => []);
  /** Sends a request again as often as permitted; returns the arrivals. */
  const retry = (vm: number): number[] => {
    const deadline = now + TIMEOUT;
    const request = { service: SERVICE, key: null, refusal: null, deadline };
    const arrivals: number[] = [];
    for (let i = 0; i < RETRIES_PER_REQUEST; i++) {
      const { isPermitted } = policies[vm].withdraw(
        request as PendingRequest,
        now,
      );
      if (!isPermitted) break;
      const arrival = arrivalOf(vm, now);
      if (arrival <= deadline) arrivals.push(arrival);
    }
    return arrivals;
  };
  for (; now < UNTIL; now += STEP) {
    const present = policies.filter((_, vm) => !isAway(vm, now)).length;
    for (let vm = 0; vm < vms; vm++) {
      if (restartsOf(vm, vms).some((at) => at >= now && at < now + STEP)) {
        policies[vm] = create(vm);
      }
      if (now % REPORT_INTERVAL === 0 && isReporting(vm, now)) {
        const share = holders.answer(vm, now);
        shares[vm] = { share, expiresAt: now + SHARE_LIFETIME };
      }
      if (!isAway(vm, now)) backlog[vm] += rate * STEP / 1_000 / present;
      for (; backlog[vm] >= 1; backlog[vm] -= 1) {
        unread[vm].push(now);
        requests.push(now);
      }
      const stall = stallOf(vm);
      if (stall !== null && now >= stall.from && now < stall.until) continue;
      if (now === stall?.until) {
        policies[vm].processStalled(now - stall.from, now);
      }
      for (const sentAt of unread[vm].splice(0)) {
        // The caller has left.
        if (sentAt < now - TIMEOUT) continue;
        policies[vm].recordRequest(SERVICE, now);
        if (isFailing(now)) retries.push(...retry(vm));
      }
    }
  }
  return { requests, retries };
}

/** Servers fail all requests from `FAULT_AT` on. */
const steady = (now: number) => now >= FAULT_AT;
/** Servers fail all requests for a while, and again 9.6 s later. */
const bursts = (now: number) =>
  [0, 9_600, 19_200].some((after) =>
    now >= FAULT_AT + after && now < FAULT_AT + after + 1_200
  );
const never = () => [];
const nowhere = () => false;

type Case = Omit<Situation, "vms" | "rate">;

/** Whether a VM is one of a share of the VMs, which are spread evenly. */
function isPart(vm: number, share: number): boolean {
  return Math.floor((vm + 1) * share) > Math.floor(vm * share);
}

/** Cases in which callers move to other VMs while all servers fail. */
function movements(): Record<string, Case> {
  const shares = { half: 1 / 2, "two thirds": 2 / 3, "nine in ten": 9 / 10 };
  const cases: Record<string, Case> = {
    "callers move between halves in turn": {
      ...KNOWN,
      isAway: (vm, now) =>
        now >= FAULT_AT + 600 &&
        isPart(vm, 1 / 2) === (Math.floor((now - FAULT_AT) / 2_000) % 2 === 0),
    },
    "callers move between zones in turn": {
      ...KNOWN,
      isAway: (vm, now) =>
        now >= FAULT_AT + 600 &&
        vm % 3 !== Math.floor((now - FAULT_AT) / 3_000) % 3,
    },
    "callers move, and the VMs that they move to restart": {
      ...KNOWN,
      isAway: (vm, now) => isPart(vm, 2 / 3) && now >= FAULT_AT + 600,
      restartsOf: (vm) => isPart(vm, 2 / 3) ? [] : [FAULT_AT + 700],
    },
    "callers move twice while VMs restart and others are cut off": {
      ...KNOWN,
      isReporting: (vm, now) => vm % 2 !== 0 || now < FAULT_AT,
      isAway: (vm, now) =>
        now < FAULT_AT + 4_000
          ? isPart(vm, 2 / 3) && now >= FAULT_AT + 600
          : !isPart(vm, 2 / 3),
      restartsOf: (vm) => vm % 4 === 0 ? [FAULT_AT + 2_000] : [],
    },
  };
  for (const [name, share] of Object.entries(shares)) {
    for (const after of [600, 2_500]) {
      cases[`${name} of the VMs lose their callers after ${after} ms`] = {
        ...KNOWN,
        isAway: (vm, now) => isPart(vm, share) && now >= FAULT_AT + after,
      };
    }
    cases[`${name} of the VMs lose their callers and get them back`] = {
      ...KNOWN,
      isAway: (vm, now) =>
        isPart(vm, share) && now >= FAULT_AT + 600 && now < FAULT_AT + 6_600,
    };
  }
  return cases;
}

const KNOWN: Case = {
  isFailing: steady,
  terms: [-60_000],
  isReporting: () => true,
  restartsOf: never,
  isAway: nowhere,
};

const CASES: Record<string, Case> = {
  "all is known": KNOWN,
  "servers fail repeatedly": { ...KNOWN, isFailing: bursts },
  "no reports reach a term holder": { ...KNOWN, isReporting: () => false },
  "reports of few VMs reach a new term holder at first": {
    ...KNOWN,
    terms: [FAULT_AT - 17_000],
    isReporting: (vm, now) => now >= FAULT_AT - 2_000 + 40 * vm,
  },
  "the term holder changes repeatedly": {
    ...KNOWN,
    terms: [-60_000, FAULT_AT - 18_000, FAULT_AT, FAULT_AT + 2_000],
  },
  "half of the VMs are cut off from the term holder": {
    ...KNOWN,
    isReporting: (vm, now) => vm % 2 !== 0 || now < 12_000,
  },
  "reports of three groups of VMs reach the term holder in turn": {
    ...KNOWN,
    isReporting: (vm, now) => vm % 3 === Math.floor(now / 6_000) % 3,
  },
  "VMs read what waited for them after a stall": {
    ...KNOWN,
    stallOf: () => ({ from: FAULT_AT + 4_000, until: FAULT_AT + 8_000 }),
  },
  "VMs stall, and their callers move": {
    ...KNOWN,
    isAway: (vm, now) => isPart(vm, 2 / 3) && now >= FAULT_AT + 7_000,
    stallOf: () => ({ from: FAULT_AT + 4_000, until: FAULT_AT + 7_000 }),
  },
  "all VMs restart after a burst": {
    ...KNOWN,
    restartsOf: () => [FAULT_AT + 1_000],
  },
  "VMs restart in turn": {
    ...KNOWN,
    restartsOf: (vm, vms) => [
      FAULT_AT + 500 + 8_000 * vm / vms,
      FAULT_AT + 10_500 + 8_000 * vm / vms,
    ],
  },
  "VMs restart repeatedly": {
    ...KNOWN,
    restartsOf: () => [1, 2, 4, 5, 7, 9, 12].map((s) => FAULT_AT + s * 1_000),
  },
  "a third of the VMs leave and return": {
    ...KNOWN,
    isFailing: bursts,
    isAway: (vm, now) =>
      vm % 3 === 0 && now >= FAULT_AT - 3_000 && now < FAULT_AT + 6_000,
  },
  ...movements(),
  "retries that silent links hold back arrive at once": {
    ...KNOWN,
    arrivalOf: (_, at) => Math.max(at, FAULT_AT + TIMEOUT),
  },
  "links are silent in turn, and callers move": {
    ...KNOWN,
    isAway: (vm, now) => isPart(vm, 2 / 3) && now >= FAULT_AT + 3_500,
    arrivalOf: (_, at) => Math.ceil(at / TIMEOUT) * TIMEOUT,
  },
  "several at once": {
    isFailing: (now) => bursts(now) || now >= FAULT_AT + 14_000,
    terms: [-60_000, FAULT_AT - 17_000, FAULT_AT + 3_000],
    isReporting: (vm, now) =>
      vm % 3 !== 0 || now < 12_000 || now >= FAULT_AT + 4_000,
    restartsOf: (vm) => vm % 2 === 0 ? [FAULT_AT + 900, FAULT_AT + 3_000] : [],
    isAway: (vm, now) =>
      vm % 5 === 0 && now >= FAULT_AT + 1_000 && now < FAULT_AT + 5_000,
    arrivalOf: (vm, at) => vm % 4 === 0 ? Math.ceil(at / 1_500) * 1_500 : at,
    stallOf: (vm) =>
      vm % 7 === 0 ? { from: FAULT_AT + 5_000, until: FAULT_AT + 6_500 } : null,
  },
};

// Guards against retries beyond the budget of all VMs together: those that a VM
// forgets before the window has passed or as it restarts, shares of the minimum
// of VMs that are not known to the holder, requests that two VMs count as callers move from one to
// the other, and retries that arrive later than they are sent.
for (const [name, each] of Object.entries(CASES)) {
  for (const [vms, minimum] of SIZES) {
    test(`retry policy: ${name}, ${vms} VMs: all together stay within the budget`, (t) => {
      const limits = { ratio: 0.2, windowSeconds: 10, minimum };
      for (const rate of [8, 120, 600, 1_000]) {
        const situation = { ...each, vms, rate };
        const { requests, retries } = simulate(situation, limits);
        const excess = retryExcess(requests, retries, limits);
        t.true(excess <= 0, `${rate} requests per second: ${excess} beyond`);
      }
    });
  }
}

// Guards against requests that were sent during a stall and count as sent when
// they are read.
test("retry policy: requests that are read after a stall count as sent when it began", (t) => {
  const limits = { ratio: 0.2, windowSeconds: 10, minimum: 0 };
  const retryAt = (readAt: number, now: number): boolean => {
    const policy = createPolicy(limits, -60_000, () => 0);
    policy.processStalled(4_000, 20_000);
    for (let i = 0; i < 20; i++) policy.recordRequest(SERVICE, readAt);
    const request = { service: SERVICE, key: null, refusal: null };
    const deadline = now;
    return policy.withdraw({ ...request, deadline } as PendingRequest, now)
      .isPermitted;
  };
  t.true(retryAt(20_100, 25_900));
  t.false(retryAt(20_100, 26_000));
  t.true(retryAt(23_999, 25_900));
  t.false(retryAt(23_999, 26_000));
  t.true(retryAt(24_000, 33_900));
  t.false(retryAt(24_000, 34_000));
});

// Guards against margins that leave the budget unused.
for (const [vms, minimum] of SIZES) {
  test(`retry policy: ${vms} VMs: more than half of the budget can be used`, (t) => {
    const limits = { ratio: 0.2, windowSeconds: 10, minimum };
    const rate = 600;
    const situation = { ...KNOWN, vms, rate };
    const allowed = limits.ratio * rate * limits.windowSeconds + minimum;
    const { requests, retries } = simulate(situation, limits);
    const excess = retryExcess(requests, retries, limits);
    t.true(excess > -0.5 * allowed, `${excess} of ${allowed}`);
  });
}

// Guards against a budget that a short failure of all servers cannot use.
for (const [vms, minimum] of SIZES) {
  test(`retry policy: ${vms} VMs: the first second of a failure may use a third of the budget`, (t) => {
    const limits = { ratio: 0.2, windowSeconds: 10, minimum };
    const rate = 600;
    const { retries } = simulate({ ...KNOWN, vms, rate }, limits);
    const used = retries.filter((at) => at < FAULT_AT + 1_000).length;
    const allowed = limits.ratio * rate * limits.windowSeconds + minimum;
    t.log(`${used} of ${allowed}`);
    t.true(used > allowed / 3, `${used} of ${allowed}`);
  });
}
