import test from "ava";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import { Quarantine } from "../quarantine/index.ts";
import { QuarantineStorage } from "./quarantine_storage.ts";

const REQUEST = fingerprintOf("/crash");
/**
 * When a request that crashed three servers at time 0 is quarantined, in
 * milliseconds.
 */
const QUARANTINED_AT = 1_000;

/**
 * Creates the storage of an empty quarantine. `quarantineRequest` records three
 * crashes of a request.
 */
function createStorage() {
  const quarantine = Quarantine.create();
  const storage = QuarantineStorage.create(quarantine);
  const quarantineRequest = (request = REQUEST.complete) => {
    for (const serverProcess of ["a#1", "b#1", "c#1"]) {
      quarantine.recordCrash(request, "h/crash", serverProcess, 0);
    }
    quarantine.advance(QUARANTINED_AT);
  };
  return { quarantine, storage, quarantineRequest };
}

test("quarantine storage: a quarantined request is written once, and again after a failure", (t) => {
  const { storage, quarantineRequest } = createStorage();
  t.is(storage.advance(QUARANTINED_AT), null);
  quarantineRequest();
  t.is(storage.advance(QUARANTINED_AT)?.records.length, 1);
  t.is(storage.advance(QUARANTINED_AT), null);
  storage.written(false, 1_100);
  t.is(storage.advance(1_500), null);
  t.is(storage.advance(2_100)?.records.length, 1);
  storage.written(true, 2_110);
  t.is(storage.advance(5_000), null);
});

test("quarantine storage: a request quarantined during a write is written next", (t) => {
  const { storage, quarantineRequest, quarantine } = createStorage();
  quarantineRequest();
  storage.advance(QUARANTINED_AT);
  quarantineRequest("other");
  quarantine.advance(QUARANTINED_AT + 200);
  storage.written(true, QUARANTINED_AT + 300);
  t.is(storage.advance(QUARANTINED_AT + 400)?.records.length, 2);
});

test("quarantine storage: a VM quarantines the requests that it reads on startup without delay", (t) => {
  const former = createStorage();
  former.quarantineRequest();
  const { records } = former.storage.advance(QUARANTINED_AT)!;
  const { storage, quarantine } = createStorage();
  storage.read(records, 50);
  t.not(quarantine.quarantinedRequest(REQUEST, 50), null);
  // If it becomes the term holder it has nothing to write.
  t.is(storage.advance(60), null);
});

// Guards against quarantined requests that nobody writes again after the store
// has lost their records.
test("quarantine storage: records are written again when the store has returned from a copy", (t) => {
  const { storage, quarantineRequest } = createStorage();
  quarantineRequest();
  storage.advance(QUARANTINED_AT);
  storage.written(true, 1_100);
  t.is(storage.advance(1_500), null);
  storage.storeRestored();
  t.is(storage.advance(1_600)?.records.length, 1);
});
