/**
 * Runs real processes of which some entries are cut from all backend servers,
 * while callers, the store and the other entries reach them.
 *
 * @module
 */
import test, { type ExecutionContext } from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { type Call, checkHistory, runLoad } from "../src/load/index.ts";
import {
  type DeployedProcess,
  Deployment,
  type ServerLinks,
} from "./support/deployment.ts";

/** Duration of the load, in milliseconds. */
const LOAD_DURATION = 12_000;
/** The cut, in milliseconds after the start of the load. */
const CUT_FROM = 2_000;
const CUT_UNTIL = 10_000;
/**
 * Time after the start of the cut from which callers of cut entries must be
 * served like others, in milliseconds.
 */
const STABILITY_TIME = 3_000;
/** Time after the cut within which all are served as before, in milliseconds. */
const RECOVERY_TIME = 1_000;
/** Minimum share of calls that cut entries serve, relative to the others. */
const MINIMUM_RELATIVE_SHARE = 0.9;
/** Minimum share that they serve before that. */
const MINIMUM_INITIAL_SHARE = 0.5;
/** Minimum share that the other entries serve. */
const MINIMUM_SHARE = 0.98;
/** Working time of a request at a server, in milliseconds. */
const WORK = 40;

/** Starts four entries and four servers of each service. */
async function start(t: ExecutionContext): Promise<Deployment> {
  const deployment = await Deployment.start({ entries: 4, servers: 4 });
  t.teardown(() => deployment.stop());
  await Promise.all(
    deployment.servers.map(({ address }) =>
      deployment.setFaults(address, { work: WORK })
    ),
  );
  return deployment;
}

/**
 * Sends requests to both services for {@linkcode LOAD_DURATION}, the last part
 * of the cut with more callers, so that new connections are needed.
 */
async function loadBoth(deployment: Deployment): Promise<Call[]> {
  const overrides = { callers: 8, pause: 60, seconds: LOAD_DURATION / 1_000 };
  const burst = delay(CUT_FROM + STABILITY_TIME).then(() =>
    runLoad(deployment.plan("orders", {
      callers: 24,
      pause: 30,
      seconds: 2,
    }))
  );
  const results = await Promise.all([
    runLoad(
      deployment.plan("stock", { ...overrides, keys: 40, method: "PUT" }),
    ),
    runLoad(deployment.plan("orders", overrides)),
    burst,
  ]);
  return results.flatMap(({ calls }) => calls);
}

/** Cuts entries from all servers during a part of the load. */
async function loadDuringCut(
  deployment: Deployment,
  cutEntries: readonly DeployedProcess[],
  links: ServerLinks,
  during: () => Promise<void> = () => Promise.resolve(),
): Promise<{ calls: Call[]; startedAt: number }> {
  const startedAt = Date.now();
  const load = loadBoth(deployment);
  await delay(CUT_FROM);
  for (const each of cutEntries) deployment.setServerLinks(each, links);
  await during();
  await delay(startedAt + CUT_UNTIL - Date.now());
  for (const each of cutEntries) deployment.setServerLinks(each, "open");
  return { calls: await load, startedAt };
}

/** Checks that cut entries have served their callers as they must. */
function checkShares(
  t: ExecutionContext,
  { calls, startedAt }: { calls: readonly Call[]; startedAt: number },
  cutEntries: readonly DeployedProcess[],
): void {
  const addresses = cutEntries.map(({ address }) => address);
  const share = (isCut: boolean | null, from: number, until: number) => {
    const included = calls.filter((call) => {
      const at = call.startedAt - startedAt;
      const isAtCut = addresses.includes(call.target);
      return at >= from && at < until && (isCut === null || isCut === isAtCut);
    });
    const served = included.filter(({ status }) => status === 200).length;
    return served / included.length;
  };
  const settled = CUT_FROM + STABILITY_TIME;
  const initial = share(true, CUT_FROM, settled);
  const cut = share(true, settled, CUT_UNTIL);
  const others = share(false, CUT_FROM, CUT_UNTIL);
  const after = share(null, CUT_UNTIL + RECOVERY_TIME, LOAD_DURATION);
  t.log({ initial, cut, others, after });
  t.true(initial >= MINIMUM_INITIAL_SHARE, `first 3 s: ${initial}`);
  t.true(cut >= MINIMUM_RELATIVE_SHARE * others, `cut entries: ${cut}`);
  t.true(others >= MINIMUM_SHARE, `other entries: ${others}`);
  t.true(after >= MINIMUM_SHARE, `afterwards: ${after}`);
}

/** Checks that each answer is true, and that nothing ran twice. */
function checkGuarantees(
  t: ExecutionContext,
  deployment: Deployment,
  calls: readonly Call[],
): void {
  const runs = deployment.servers.flatMap((each) => deployment.runs(each));
  for (const { name, breaches } of checkHistory({ calls: [...calls], runs })) {
    t.deepEqual(breaches.slice(0, 3), [], name);
  }
}

for (const links of ["silent", "one_way", "reset", "refused"] as const) {
  // Guards against callers of entries that are cut from all servers being
  // served far worse than others, the term holder among them.
  test.serial(`unreached servers, processes: two of four entries, one the term holder, links ${links}`, async (t) => {
    const deployment = await start(t);
    const holder = await deployment.holder();
    const other = deployment.entries.find((each) => each !== holder)!;
    const cutEntries = [holder, other];
    const load = await loadDuringCut(deployment, cutEntries, links);
    checkShares(t, load, cutEntries);
    checkGuarantees(t, deployment, load.calls);
  });
}

// Guards against requests that are cut off when the entry between stops.
test.serial("unreached servers, processes: an entry stops while a cut one sends through it", async (t) => {
  const deployment = await start(t);
  const holder = await deployment.holder();
  const [cutEntry, stopped] = deployment.entries.filter((each) =>
    each !== holder
  );
  const targets = deployment.entries.filter((each) => each !== stopped);
  const { calls, startedAt } = await loadDuringCut(
    deployment,
    [cutEntry],
    "silent",
    async () => {
      await delay(3_500);
      stopped.process.kill("SIGTERM");
    },
  );
  const kept = calls.filter(({ target }) =>
    targets.some(({ address }) => address === target)
  );
  checkShares(t, { calls: kept, startedAt }, [cutEntry]);
  const failed = kept.filter(({ target, status, startedAt: at }) =>
    target === cutEntry.address && status !== 200 &&
    at - startedAt > CUT_FROM + STABILITY_TIME &&
    at - startedAt < CUT_UNTIL
  );
  t.deepEqual(failed.slice(0, 3), []);
  checkGuarantees(t, deployment, calls);
});
