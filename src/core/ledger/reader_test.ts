import test from "ava";
import { configurationSchema } from "../configuration/index.ts";
import { LedgerReader } from "./reader.ts";
import type { LogEntry, LogRecord } from "./record.ts";

const configuration = configurationSchema.parse({
  base: { cluster: "c", services: { stock: { key: { header: "x-key" } } } },
  overlays: [],
});

function published(basedOn: number, slots = 256): LogRecord {
  const services = {
    stock: { ...configuration.base.services.stock, keySlots: slots },
  };
  return {
    kind: "configuration.published",
    id: `after-${basedOn}`,
    operator: "o",
    basedOn,
    publishedAt: 0,
    configuration: { ...configuration, base: { cluster: "c", services } },
  };
}

function started(vm: string, nonce: string): LogRecord {
  return {
    kind: "vm.started",
    site: "s",
    vm,
    availabilityZone: "z",
    peerAddress: "p",
    startedAt: 0,
    nonce,
  };
}

function claimed(vm: string, incarnation: number, basedOn: number): LogRecord {
  return { kind: "term.claimed", site: "s", vm, incarnation, basedOn };
}

function entries(records: unknown[], first = 1): LogEntry[] {
  return records.map((data, index) => ({ offset: first + index, data }));
}

/** What became of each record, in few words. */
function read(reader: LedgerReader, list: LogEntry[], first = 1) {
  const next = (list.at(-1)?.offset ?? first - 1) + 1;
  return reader.read(list, first, next).map(({ offset, kind, verdict }) =>
    `${offset} ${kind}: ${verdict.accepted ? "accepted" : verdict.reason}`
  );
}

test("LedgerReader: the first of two conditional records wins", (t) => {
  const reader = LedgerReader.create();
  t.snapshot(read(
    reader,
    entries([
      published(0),
      published(0),
      published(1, 128),
      started("a", "n1"),
      started("a", "n1"),
      claimed("a", 4, 0),
      claimed("a", 4, 0),
      claimed("b", 4, 6),
    ]),
  ));
  t.is(reader.ledger.accepted.revision, 1);
});

test("LedgerReader: records that cannot be read are skipped", (t) => {
  const reader = LedgerReader.create();
  const outcomes = read(
    reader,
    entries([
      null,
      "text",
      { kind: "from.the.future", x: 1 },
      { ...published(0), configuration: { base: {} } },
      published(0),
    ]),
  );
  t.snapshot(outcomes);
  t.is(reader.ledger.accepted.revision, 5);
});

test("LedgerReader: a checkpoint carries over what has expired", (t) => {
  const whole = LedgerReader.create();
  const early = entries([published(0), started("a", "n1")]);
  read(whole, early);
  const checkpoint: LogRecord = {
    kind: "checkpoint.written",
    ledger: whole.ledger,
  };
  const late = entries([claimed("a", 2, 0), checkpoint, published(1)], 3);
  read(whole, late);
  const starter = LedgerReader.create();
  read(starter, late.slice(0, 1), 3);
  t.false(starter.complete, "nothing covers what has expired yet");
  read(starter, late.slice(1), 3);
  t.true(starter.complete);
  t.deepEqual(starter.ledger, whole.ledger);
});

test("LedgerReader: a checkpoint that covers too little is not used", (t) => {
  const reader = LedgerReader.create();
  const { ledger } = LedgerReader.create();
  const checkpoint: LogRecord = { kind: "checkpoint.written", ledger };
  read(reader, entries([started("a", "n1"), checkpoint], 10), 10);
  t.false(reader.complete);
});

test("LedgerReader: a reader that fell behind keeps its revision", (t) => {
  const reader = LedgerReader.create();
  read(reader, entries([published(0), published(1)]));
  const { ledger: old } = LedgerReader.create();
  read(reader, entries([{ kind: "checkpoint.written", ledger: old }], 50), 50);
  t.false(reader.complete, "it lacks the records from 3 to 49");
  t.is(reader.ledger.accepted.revision, 2);
});

test("LedgerReader: a peer's state is adopted only if it is ahead", (t) => {
  const [behind, ahead] = [LedgerReader.create(), LedgerReader.create()];
  read(ahead, entries([published(0), published(1)]));
  t.true(behind.adopt(ahead.ledger));
  t.is(behind.position, 3);
  read(behind, entries([published(2)], 3));
  t.false(behind.adopt(ahead.ledger));
  t.is(behind.ledger.accepted.revision, 3);
});
