import test from "ava";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import { Quarantine } from "../quarantine/index.ts";
import { QuarantineRecord } from "./quarantine_record.ts";

const REQUEST = fingerprintOf("/ends");
/** Time after which a request that was convicted is held back. */
const HEARD = 1_000;

function createRecord() {
  const quarantine = Quarantine.create();
  const record = QuarantineRecord.create(quarantine);
  const convict = (request = REQUEST.whole) => {
    for (const run of ["a#1", "b#1", "c#1"]) {
      quarantine.accuse(request, "h/ends", run, 0);
    }
    quarantine.expire(HEARD);
  };
  return { quarantine, record, convict };
}

test("quarantine record: what is held back is written once, and again when that failed", (t) => {
  const { record, convict } = createRecord();
  t.is(record.advance(HEARD), null);
  convict();
  t.is(record.advance(HEARD)?.records.length, 1);
  t.is(record.advance(HEARD), null);
  record.written(false, 1_100);
  t.is(record.advance(1_500), null);
  t.is(record.advance(2_100)?.records.length, 1);
  record.written(true, 2_110);
  t.is(record.advance(5_000), null);
});

test("quarantine record: what is held back meanwhile is written next", (t) => {
  const { record, convict, quarantine } = createRecord();
  convict();
  record.advance(HEARD);
  convict("other");
  quarantine.expire(HEARD + 200);
  record.written(true, HEARD + 300);
  t.is(record.advance(HEARD + 400)?.records.length, 2);
});

test("quarantine record: a VM that starts holds back what it reads, at once", (t) => {
  const former = createRecord();
  former.convict();
  const { records } = former.record.advance(HEARD)!;
  const { record, quarantine } = createRecord();
  record.read(records, 50);
  t.not(quarantine.hold(REQUEST, 50), null);
  // As the next holder it has nothing to add.
  t.is(record.advance(60), null);
});
