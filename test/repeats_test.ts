import test from "ava";
import { request } from "undici";
import {
  Deployment,
  endProcess,
  type RunningEntry,
  waitFor,
} from "./support/deployment.ts";

const checks = { token: true, lease: true, echo: true };
let deployment: Deployment;

test.before(async () => {
  deployment = await Deployment.start({
    entries: 4,
    services: [{ name: "izplacila", keyHeader: null, servers: 2, checks }],
  });
});

test.after.always(() => deployment.stop());

/** What a caller is told of a payout sent through `entry`. */
async function pay(entry: RunningEntry, id: string) {
  const answer = await request(`http://${entry.address}/izplacila/pay`, {
    method: "POST",
    headers: { "x-request-id": id },
    body: "1",
  });
  await answer.body.dump();
  return [answer.statusCode, answer.headers["plumloft-outcome"] ?? null];
}

function runsOf(id: string): number {
  return deployment.servers.flatMap((each) => deployment.runs(each))
    .filter((run) => run.requestId === id).length;
}

test.serial("repeats: an id runs once through all VMs", async (t) => {
  const ids = Array.from({ length: 20 }, (_, index) => `pay-${index}`);
  for (const id of ids) {
    const told = [];
    for (const entry of deployment.entries) told.push(await pay(entry, id));
    t.deepEqual(told, [
      [200, null],
      [409, "unknown"],
      [409, "unknown"],
      [409, "unknown"],
    ]);
    t.is(runsOf(id), 1);
  }
});

test.serial("repeats: the same id at the same time runs once", async (t) => {
  for (let round = 0; round < 20; round++) {
    const id = `race-${round}`;
    await Promise.all(deployment.entries.map((entry) => pay(entry, id)));
    t.true(runsOf(id) <= 1);
  }
});

test.serial("repeats: what did not run may be sent again", async (t) => {
  const [one, two] = deployment.entries;
  for (const server of deployment.servers) {
    await deployment.setServerFaults(server, { shed: true });
  }
  t.deepEqual(await pay(one, "again"), [503, "not-run"]);
  for (const server of deployment.servers) {
    await deployment.setServerFaults(server, {});
  }
  t.deepEqual(await pay(two, "again"), [200, null]);
  t.is(runsOf("again"), 1);
});

test.serial("repeats: an id is known after the death of its VM", async (t) => {
  const [first, second, third] = deployment.entries;
  const ids = Array.from({ length: 10 }, (_, index) => `dead-${index}`);
  for (const id of ids) t.deepEqual(await pay(first, id), [200, null]);
  await endProcess(first.child);
  for (const id of ids) {
    t.deepEqual(await pay(second, id), [409, "unknown"]);
  }
  deployment.restart(first);
  await waitFor("the VM to take part again", async () => {
    return (await deployment.status(first)).member;
  });
  for (const id of ids) {
    t.deepEqual(await pay(first, id), [409, "unknown"]);
    t.deepEqual(await pay(third, id), [409, "unknown"]);
    t.is(runsOf(id), 1);
  }
});
