/**
 * Experiments: a deployment of separate processes under a load of callers while
 * something fails, and a history that is checked afterwards.
 *
 * @module
 */
import { request } from "undici";
import {
  checkHistory,
  type CheckResult,
  findInventedAnswers,
  findMismatches,
  findRepeatedRuns,
  type History,
  isServed,
  longestGap,
  runLoad,
  toEvidence,
} from "../../src/load/index.ts";
import { Deployment, type DeploymentPlan } from "../support/deployment.ts";

/** A failure and how it is brought about. */
export interface Scenario {
  name: string;
  /** Seconds for which callers send. */
  seconds: number;
  /** What differs from the usual deployment. */
  plan?: Partial<DeploymentPlan>;
  /** Callers without keys are sent to `archeio` as well. */
  act(deployment: Deployment): Promise<void>;
}

/** What an experiment showed. */
export interface Outcome {
  name: string;
  sent: number;
  served: number;
  notRun: number;
  unknown: number;
  /** Served, but no server ran it. */
  lost: number;
  /** Non-idempotent work that ran more than once. */
  doubled: number;
  /** Answers that were cut short or another caller's. */
  crossed: number;
  /** Longest time between two served answers for one key, in milliseconds. */
  longestGap: number;
  /** Every breach of what must hold, by check. */
  breaches: CheckResult[];
}

const CHECKS = { token: true, lease: true, echo: true };
const KEY_HEADER = "x-stock-key";
/** Keys that callers ask for; each is asked for all the time. */
const KEYS = 24;
const CALLERS = 12;
/** Milliseconds between two requests of one caller. */
const PAUSE = 5;
/** Time between two looks of the balancer at the entries. */
const BALANCER_INTERVAL = 50;

/** The deployment that scenarios use unless they say otherwise. */
export const USUAL_PLAN: DeploymentPlan = {
  entries: 3,
  services: [
    {
      name: "apothiki",
      keyHeader: KEY_HEADER,
      servers: 3,
      checks: CHECKS,
      slots: 12,
    },
    {
      name: "archeio",
      keyHeader: null,
      servers: 3,
      checks: CHECKS,
      slots: 12,
    },
  ],
};

/** Runs a scenario on a deployment of its own. */
export async function runScenario(scenario: Scenario): Promise<Outcome> {
  const deployment = await Deployment.start({
    ...USUAL_PLAN,
    ...scenario.plan,
  });
  try {
    const history = await observe(deployment, scenario);
    return describe(scenario.name, history);
  } finally {
    await deployment.stop();
  }
}

async function observe(
  deployment: Deployment,
  scenario: Scenario,
): Promise<History> {
  const balancer = Balancer.start(deployment);
  const plan = {
    targets: deployment.entries.map((entry) => entry.address),
    keys: KEYS,
    method: "POST" as const,
    bodySize: 64,
    requests: 100_000,
    seconds: scenario.seconds,
    callers: CALLERS,
    pause: PAUSE,
    isReady: (target: string) => balancer.isReady(target),
  };
  const [keyed, plain] = await Promise.all([
    runLoad({ ...plan, service: "apothiki", keyHeader: KEY_HEADER }),
    runLoad({ ...plan, service: "archeio", keyHeader: null }),
    scenario.act(deployment),
  ]);
  balancer.stop();
  return {
    calls: [...keyed.calls, ...plain.calls],
    runs: deployment.servers.flatMap((server) => deployment.runs(server)),
  };
}

function describe(name: string, history: History): Outcome {
  const { calls, runs } = history;
  if (runs.length === 0) {
    throw new Error(`${name}: no server recorded its work`);
  }
  const once = runs.filter((run) => run.method === "POST");
  const evidence = toEvidence({ calls, runs: once });
  return {
    name,
    sent: calls.length,
    served: calls.filter(isServed).length,
    notRun: calls.filter((call) => call.outcome === "not-run").length,
    unknown: calls.filter((call) => call.outcome === "unknown").length,
    lost: findInventedAnswers(evidence).length,
    doubled: findRepeatedRuns(evidence).length,
    crossed: findMismatches(history).length,
    longestGap: longestGap(history).gap,
    breaches: checkHistory(history).filter((each) => each.breaches.length > 0),
  };
}

/** The platform's balancer: sends callers only to entries that are ready. */
class Balancer {
  readonly #ready = new Map<string, boolean>();
  readonly #timer: NodeJS.Timeout;

  private constructor(private readonly deployment: Deployment) {
    this.#timer = setInterval(() => void this.#look(), BALANCER_INTERVAL);
  }

  static start(deployment: Deployment): Balancer {
    return new Balancer(deployment);
  }

  isReady(target: string): boolean {
    return this.#ready.get(target) ?? true;
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async #look(): Promise<void> {
    await Promise.all(this.deployment.entries.map(async (entry) => {
      try {
        const answer = await request(`http://${entry.admin}/ready`, {
          headersTimeout: 2_000,
        });
        await answer.body.dump();
        this.#ready.set(entry.address, answer.statusCode === 200);
      } catch {
        this.#ready.set(entry.address, false);
      }
    }));
  }
}
