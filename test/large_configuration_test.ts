/**
 * Seen: while VMs were restarted in turn, a configuration grew by 2,000 routes, and
 * from then on four in five keyed requests were refused until the end of the day,
 * though the store and the servers were sound. A read of such a document by a small
 * VM takes longer than the time that a call to the store was given, 0.7 s for the
 * whole answer: it was given up and begun anew, each time in vain, and filled the
 * VM's link, so that membership calls and the term holder's word came late as well.
 * VMs that no longer trusted the holder's word read the document for themselves,
 * the term passed on, and servers that had left went on being asked. What proves it:
 * lines `store.call_failed` of nearly all VMs within seconds, each for a read of the
 * configuration, and `holder.announced` again and again, on a day of our own on
 * which nothing was wrong with the store.
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

/** Half of a link of 7 Mbit/s, in bytes a second. */
const LINK = 400_000;
/** Time in which a VM must have the configuration, in milliseconds: its document
 * takes 1.3 s over that link. */
const PATIENCE = 6_000;

test.serial("large configuration: a VM behind a small link starts with it", async (t) => {
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
  const store = await openThrottledLink(t, service.address, LINK);
  const { entry } = await startEntryInProcess(t, 2, store);
  const end = performance.now() + PATIENCE;
  while (!entry.status().isReady && performance.now() < end) await delay(50);
  const { configuration, isReady } = entry.status();
  t.true(isReady);
  t.deepEqual(configuration, { version: 7, routes: LARGE_ROUTE_COUNT });
});
