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
 * Creates a record of an empty quarantine. `quarantineRequest` records three
 * crashes of a request.
 */
function createRecord() {
  const quarantine = Quarantine.create();
  const record = QuarantineStorage.create(quarantine);
  const quarantineRequest = (request = REQUEST.complete) => {
    for (const serverProcess of ["a#1", "b#1", "c#1"]) {
      quarantine.recordCrash(request, "h/crash", serverProcess, 0);
    }
    quarantine.advance(QUARANTINED_AT);
  };
  return { quarantine, record, quarantineRequest };
}

test("quarantine record: a quarantined request is written once, and again after a failure", (t) => {
  const { record, quarantineRequest } = createRecord();
  t.is(record.advance(QUARANTINED_AT), null);
  quarantineRequest();
  t.is(record.advance(QUARANTINED_AT)?.records.length, 1);
  t.is(record.advance(QUARANTINED_AT), null);
  record.written(false, 1_100);
  t.is(record.advance(1_500), null);
  t.is(record.advance(2_100)?.records.length, 1);
  record.written(true, 2_110);
  t.is(record.advance(5_000), null);
});

test("quarantine record: a request quarantined during a write is written next", (t) => {
  const { record, quarantineRequest, quarantine } = createRecord();
  quarantineRequest();
  record.advance(QUARANTINED_AT);
  quarantineRequest("other");
  quarantine.advance(QUARANTINED_AT + 200);
  record.written(true, QUARANTINED_AT + 300);
  t.is(record.advance(QUARANTINED_AT + 400)?.records.length, 2);
});

test("quarantine record: a VM that starts immediately quarantines the requests it reads", (t) => {
  const former = createRecord();
  former.quarantineRequest();
  const { records } = former.record.advance(QUARANTINED_AT)!;
  const { record, quarantine } = createRecord();
  record.read(records, 50);
  t.not(quarantine.quarantinedRequest(REQUEST, 50), null);
  // If it becomes the term holder it has nothing to write.
  t.is(record.advance(60), null);
});
