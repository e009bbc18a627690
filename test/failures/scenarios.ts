/**
 * The failures that are brought about on running processes.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import type {
  Deployment,
  Running,
  RunningEntry,
  RunningServer,
} from "../support/deployment.ts";
import type { Scenario } from "./experiment.ts";

/** Time for which callers send before something fails, in milliseconds. */
const BEFORE = 1_000;
/** How long a frozen process stays frozen: longer than any lease. */
const FREEZE = 1_500;

function owner(deployment: Deployment): RunningServer {
  return deployment.servers.find((each) => each.service === "apothiki")!;
}

async function holder(deployment: Deployment): Promise<RunningEntry> {
  for (const entry of deployment.entries) {
    if ((await deployment.status(entry)).holds) return entry;
  }
  throw new Error("no entry holds the term");
}

async function notHolder(deployment: Deployment): Promise<RunningEntry> {
  const held = await holder(deployment);
  return deployment.entries.find((each) => each !== held)!;
}

async function freeze({ child }: Running, time: number): Promise<void> {
  child.kill("SIGSTOP");
  await delay(time);
  child.kill("SIGCONT");
}

/** All scenarios, in the order in which they are reported. */
export const SCENARIOS: readonly Scenario[] = [
  {
    name: "nothing fails",
    seconds: 4,
    act: () => Promise.resolve(),
  },
  {
    name: "owner killed",
    seconds: 5,
    async act(deployment) {
      await delay(BEFORE);
      owner(deployment).child.kill("SIGKILL");
    },
  },
  {
    name: "owner killed and restarted",
    seconds: 6,
    async act(deployment) {
      await delay(BEFORE);
      const server = owner(deployment);
      server.child.kill("SIGKILL");
      await delay(FREEZE);
      deployment.restart(server);
    },
  },
  {
    name: "owner frozen, then back",
    seconds: 6,
    async act(deployment) {
      await delay(BEFORE);
      await freeze(owner(deployment), FREEZE);
    },
  },
  {
    name: "term holder killed",
    seconds: 6,
    async act(deployment) {
      await delay(BEFORE);
      (await holder(deployment)).child.kill("SIGKILL");
    },
  },
  {
    name: "term holder frozen, then back",
    seconds: 6,
    async act(deployment) {
      await delay(BEFORE);
      await freeze(await holder(deployment), FREEZE);
    },
  },
  {
    name: "entry killed and restarted",
    seconds: 6,
    async act(deployment) {
      await delay(BEFORE);
      const entry = await notHolder(deployment);
      entry.child.kill("SIGKILL");
      await delay(FREEZE);
      deployment.restart(entry);
    },
  },
  {
    name: "entry and owner frozen, then back",
    seconds: 7,
    async act(deployment) {
      await delay(BEFORE);
      await Promise.all([
        freeze(await notHolder(deployment), FREEZE),
        freeze(owner(deployment), FREEZE),
      ]);
    },
  },
  {
    name: "term holder and owner killed",
    seconds: 8,
    async act(deployment) {
      await delay(BEFORE);
      (await holder(deployment)).child.kill("SIGKILL");
      owner(deployment).child.kill("SIGKILL");
    },
  },
  {
    name: "owner killed while the log is out",
    seconds: 6,
    async act(deployment) {
      await deployment.setLogFaults({ outage: true });
      await delay(BEFORE);
      owner(deployment).child.kill("SIGKILL");
      await delay(2 * FREEZE);
      await deployment.setLogFaults({});
    },
  },
  {
    name: "term holder killed while the log is out",
    seconds: 8,
    async act(deployment) {
      await deployment.setLogFaults({ outage: true });
      await delay(BEFORE);
      (await holder(deployment)).child.kill("SIGKILL");
      await delay(2 * FREEZE);
      await deployment.setLogFaults({});
    },
  },
  {
    name: "log loses the answers of appends",
    seconds: 8,
    async act(deployment) {
      await deployment.setLogFaults({ loseAnswers: 5 });
      await delay(BEFORE);
      (await holder(deployment)).child.kill("SIGKILL");
    },
  },
  {
    name: "servers reset, cut short, cross answers",
    seconds: 5,
    async act(deployment) {
      await delay(BEFORE);
      for (const server of deployment.servers) {
        await deployment.setServerFaults(server, {
          resetBefore: 3,
          resetAfter: 3,
          cutShort: 3,
          crossed: 3,
        });
      }
    },
  },
  {
    name: "a server leaves",
    seconds: 6,
    async act(deployment) {
      await delay(BEFORE);
      const server = owner(deployment);
      await deployment.list({ [server.name]: "leaving" });
    },
  },
  {
    name: "an availability zone shuts down",
    seconds: 8,
    async act(deployment) {
      await delay(BEFORE);
      const [keyed] = deployment.servers;
      const plain = deployment.servers.find((each) =>
        each.service === "archeio"
      )!;
      await deployment.list({
        [keyed.name]: "leaving",
        [plain.name]: "leaving",
      });
      deployment.entries[0].child.kill("SIGTERM");
      await delay(3_000);
      keyed.child.kill("SIGTERM");
      plain.child.kill("SIGTERM");
    },
  },
];
