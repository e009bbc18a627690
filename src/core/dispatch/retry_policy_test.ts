/**
 * Simulates the retries of many VMs to one service. Each VM takes every retry
 * that it may, so that the sum over all VMs must stay within the budget by the
 * policy alone.
 */
import test from "ava";
import { retryExcess } from "../../../test/support/retry_excess.ts";
import type { DispatchContext } from "./dispatch_context.ts";
import type { PendingRequest } from "./request.ts";
import type { VmEstimate } from "../peers/index.ts";
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
  /** Number of VMs that a VM knows; null if none. */
  countOf: (vm: number, now: number) => number | null;
  /** Times at which a VM restarts. */
  restartsOf: (vm: number) => readonly number[];
  /** Whether a VM gets no requests at a time; its callers use the others. */
  isAway: (vm: number, now: number) => boolean;
  /** When a retry that a VM sends at a time reaches a server; at once if absent. */
  arrivalOf?: (vm: number, now: number) => number;
}

/** Returns the policy of a process that starts at `startedAt`. */
function createPolicy(
  retryLimits: RetryLimits,
  startedAt: number,
  vms: () => VmEstimate | null,
): RetryPolicy {
  const context = { retryLimits, startedAt: () => startedAt, vms };
  return RetryPolicy.create(context as unknown as DispatchContext);
}

/** Returns by how many the retries of all VMs exceed the budget. */
function simulate(situation: Situation, limits: RetryLimits): number {
  const { vms, rate, isFailing, countOf, restartsOf, isAway } = situation;
  const arrivalOf = situation.arrivalOf ?? ((_, at) => at);
  let now = 0;
  const knownSince: (number | null)[] = [];
  const create = (vm: number) => {
    knownSince[vm] = null;
    return createPolicy(limits, now, () => {
      const count = countOf(vm, now);
      return count === null ? null : { count, since: knownSince[vm] ?? now };
    });
  };
  const policies = Array.from({ length: vms }, (_, vm) => create(vm));
  const requests: number[] = [];
  const retries: number[] = [];
  const backlog = new Array<number>(vms).fill(0);
  for (; now < UNTIL; now += STEP) {
    const present = policies.filter((_, vm) => !isAway(vm, now)).length;
    for (let vm = 0; vm < vms; vm++) {
      const isRestarting = restartsOf(vm).some((at) =>
        at >= now && at < now + STEP
      );
      if (isRestarting) policies[vm] = create(vm);
      if (countOf(vm, now) !== null) knownSince[vm] ??= now;
      if (isAway(vm, now)) continue;
      backlog[vm] += rate * STEP / 1_000 / present;
      for (; backlog[vm] >= 1; backlog[vm] -= 1) {
        policies[vm].recordRequest(SERVICE, now);
        requests.push(now);
        if (!isFailing(now)) continue;
        const deadline = now + TIMEOUT;
        const request = { service: SERVICE, key: null, deadline };
        for (let i = 0; i < RETRIES_PER_REQUEST; i++) {
          if (!policies[vm].withdraw(request as PendingRequest, now)) break;
          const arrival = arrivalOf(vm, now);
          if (arrival <= deadline) retries.push(arrival);
        }
      }
    }
  }
  return retryExcess(requests, retries, limits);
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

type Case = (vms: number) => Omit<Situation, "vms" | "rate">;

/** Whether a VM is one of a share of the VMs, which are spread evenly. */
function isPart(vm: number, share: number): boolean {
  return Math.floor((vm + 1) * share) > Math.floor(vm * share);
}

/** Cases in which callers move to other VMs while all servers fail. */
function movements(): Record<string, Case> {
  const shares = { half: 1 / 2, "two thirds": 2 / 3, "nine in ten": 9 / 10 };
  const cases: Record<string, Case> = {
    "callers move between halves in turn": (vms) => ({
      ...KNOWN(vms),
      isAway: (vm, now) =>
        now >= FAULT_AT + 600 &&
        isPart(vm, 1 / 2) === (Math.floor((now - FAULT_AT) / 2_000) % 2 === 0),
    }),
    "callers move between zones in turn": (vms) => ({
      ...KNOWN(vms),
      isAway: (vm, now) =>
        now >= FAULT_AT + 600 &&
        vm % 3 !== Math.floor((now - FAULT_AT) / 3_000) % 3,
    }),
    "callers move, and the VMs that they move to restart": (vms) => ({
      ...KNOWN(vms),
      isAway: (vm, now) => isPart(vm, 2 / 3) && now >= FAULT_AT + 600,
      restartsOf: (vm) => isPart(vm, 2 / 3) ? [] : [FAULT_AT + 700],
    }),
    "callers move twice while VMs restart and others are cut off": (vms) => ({
      ...KNOWN(vms),
      countOf: (vm, now) =>
        vm % 2 === 0 && now >= FAULT_AT ? Math.ceil(vms / 2) : vms,
      isAway: (vm, now) =>
        now < FAULT_AT + 4_000
          ? isPart(vm, 2 / 3) && now >= FAULT_AT + 600
          : !isPart(vm, 2 / 3),
      restartsOf: (vm) => vm % 4 === 0 ? [FAULT_AT + 2_000] : [],
    }),
  };
  for (const [name, share] of Object.entries(shares)) {
    for (const after of [600, 2_500]) {
      cases[`${name} of the VMs lose their callers after ${after} ms`] = (
        vms,
      ) => ({
        ...KNOWN(vms),
        isAway: (vm, now) => isPart(vm, share) && now >= FAULT_AT + after,
      });
    }
    cases[`${name} of the VMs lose their callers and get them back`] = (
      vms,
    ) => ({
      ...KNOWN(vms),
      isAway: (vm, now) =>
        isPart(vm, share) && now >= FAULT_AT + 600 && now < FAULT_AT + 6_600,
    });
  }
  return cases;
}

const KNOWN: Case = (vms) => ({
  isFailing: steady,
  countOf: () => vms,
  restartsOf: never,
  isAway: nowhere,
});

const CASES: Record<string, Case> = {
  "all is known": KNOWN,
  "servers fail repeatedly": (vms) => ({ ...KNOWN(vms), isFailing: bursts }),
  "the number of VMs is unknown": (vms) => ({
    ...KNOWN(vms),
    countOf: () => null,
  }),
  "the number of VMs becomes known late, and is low at first": (vms) => ({
    ...KNOWN(vms),
    // The term holder counts the VMs that have reported to it by then.
    countOf: (vm, now) => {
      if (now < FAULT_AT + 2_000) return null;
      return now < FAULT_AT + 2_600 ? vm + 1 : vms;
    },
  }),
  "half of the VMs are cut off, and others are counted only": (vms) => ({
    ...KNOWN(vms),
    countOf: (vm, now) =>
      vm % 2 === 0 && now >= 12_000 ? Math.ceil(vms / 2) : vms,
  }),
  "all VMs restart after a burst": (vms) => ({
    ...KNOWN(vms),
    restartsOf: () => [FAULT_AT + 1_000],
  }),
  "VMs restart in turn": (vms) => ({
    ...KNOWN(vms),
    restartsOf: (vm) => [
      FAULT_AT + 500 + 8_000 * vm / vms,
      FAULT_AT + 10_500 + 8_000 * vm / vms,
    ],
  }),
  "VMs restart repeatedly": (vms) => ({
    ...KNOWN(vms),
    restartsOf: () => [1, 2, 4, 5, 7, 9, 12].map((s) => FAULT_AT + s * 1_000),
  }),
  "a third of the VMs leave and return": (vms) => ({
    ...KNOWN(vms),
    isFailing: bursts,
    isAway: (vm, now) =>
      vm % 3 === 0 && now >= FAULT_AT - 3_000 && now < FAULT_AT + 6_000,
  }),
  ...movements(),
  "retries that silent links hold back arrive at once": (vms) => ({
    ...KNOWN(vms),
    arrivalOf: (_, at) => Math.max(at, FAULT_AT + TIMEOUT),
  }),
  "links are silent in turn, and callers move": (vms) => ({
    ...KNOWN(vms),
    isAway: (vm, now) => isPart(vm, 2 / 3) && now >= FAULT_AT + 3_500,
    arrivalOf: (_, at) => Math.ceil(at / TIMEOUT) * TIMEOUT,
  }),
  "several at once": (vms) => ({
    isFailing: (now) => bursts(now) || now >= FAULT_AT + 14_000,
    countOf: (vm, now) => {
      if (vm % 3 === 0 && now < FAULT_AT + 4_000) return null;
      return vm % 3 === 1 ? Math.ceil(vms * 2 / 3) : vms;
    },
    restartsOf: (vm) => vm % 2 === 0 ? [FAULT_AT + 900, FAULT_AT + 3_000] : [],
    isAway: (vm, now) =>
      vm % 5 === 0 && now >= FAULT_AT + 1_000 && now < FAULT_AT + 5_000,
  }),
};

// Guards against retries beyond the budget of all VMs together: those that a VM
// forgets before the window has passed or as it restarts, shares by a number of
// VMs that is not known, requests that two VMs count as callers move from one to
// the other, and retries that arrive later than they are sent.
for (const [name, create] of Object.entries(CASES)) {
  for (const [vms, minimum] of SIZES) {
    test(`retry policy: ${name}, ${vms} VMs: all together stay within the budget`, (t) => {
      const limits = { ratio: 0.2, windowSeconds: 10, minimum };
      for (const rate of [8, 120, 600, 1_000]) {
        const excess = simulate({ ...create(vms), vms, rate }, limits);
        t.true(excess <= 0, `${rate} requests per second: ${excess} beyond`);
      }
    });
  }
}

// Guards against margins that leave the budget unused.
for (const [vms, minimum] of SIZES) {
  test(`retry policy: ${vms} VMs: more than half of the budget can be used`, (t) => {
    const limits = { ratio: 0.2, windowSeconds: 10, minimum };
    const rate = 600;
    const situation = { ...KNOWN(vms), vms, rate };
    const allowed = limits.ratio * rate * limits.windowSeconds + minimum;
    const excess = simulate(situation, limits);
    t.true(excess > -0.5 * allowed, `${excess} of ${allowed}`);
  });
}
