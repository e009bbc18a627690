/**
 * Guards against a configuration that small VMs can't download. If the timeout
 * of 0.7 s covers the whole response, the read of a document with 2,000 more
 * routes times out on a small VM, and so does each retry. The retries saturate
 * the VM's link, which delays membership calls and messages of the term holder.
 * VMs that miss these messages read the document themselves, the term passes to
 * other VMs repeatedly, and removed servers still get requests. This happened
 * during a rolling restart: from the publication on, four of five keyed
 * requests were rejected and the system did not recover, although the store and
 * the servers worked. The log shows `store.call_failed` for reads of the
 * configuration on nearly all VMs within seconds, and repeated
 * `holder.announced`.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { PlatformStore } from "../platform/index.ts";
import { StoreService, storeServiceSchema } from "../src/stand_ins/index.ts";
import { startEntryInProcess } from "./support/entry_in_process.ts";
import {
  LARGE_ROUTE_COUNT,
  largeConfiguration,
} from "./support/large_configuration.ts";
import { openThrottledLink } from "./support/throttled_link.ts";

/** Bandwidth of the link, in bytes per second: half of 7 Mbit/s. */
const LINK_BANDWIDTH = 400_000;
/**
 * Maximum time until a VM has the configuration, in milliseconds. The download
 * takes 1.3 s over that link.
 */
const START_TIMEOUT = 6_000;

test.serial("large configuration: a VM with a slow link starts with it", async (t) => {
  const settings = storeServiceSchema.parse({ listen: "127.0.0.1:0" });
  const service = await StoreService.start(settings);
  t.teardown(() => service.close());
  const operator = PlatformStore.create(
    service.address,
    "operator",
    "operator",
  );
  t.teardown(() => operator.close());
  await operator.publish(largeConfiguration(7), 0);
  const store = await openThrottledLink(t, service.address, LINK_BANDWIDTH);
  const { entry } = await startEntryInProcess(t, 2, store);
  const end = performance.now() + START_TIMEOUT;
  while (!entry.status().isReady && performance.now() < end) await delay(50);
  const { configuration, isReady } = entry.status();
  t.true(isReady);
  t.deepEqual(configuration, {
    version: 7,
    routes: LARGE_ROUTE_COUNT,
    isLost: false,
  });
});
