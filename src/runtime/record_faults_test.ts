import { Writable } from "node:stream";
import test from "ava";
import { Journal } from "../logging/index.ts";
import { EntryMetrics } from "./entry_metrics.ts";
import { DecodeFailureLog } from "./record_faults.ts";

function createFaults() {
  const text: string[] = [];
  const output = new Writable({
    write: (chunk, _encoding, done) => {
      text.push(String(chunk));
      done();
    },
  });
  const journal = Journal.create("vm", "info", output);
  const metrics = EntryMetrics.create(() => ({}));
  const faults = DecodeFailureLog.create("servers", journal, metrics);
  const lines = () => {
    journal.flush();
    return text.splice(0).join("").split("\n").filter((line) => line !== "")
      .map((line) => {
        const { message, feed, key, reason, known } = JSON.parse(line);
        return { message, feed, key, reason, known };
      });
  };
  const take = (faulty: string[], sound: string[] = [], isWhole = false) => {
    const each = faulty.map((key) => ({ key, reason: `broken ${key}` }));
    faults.update({ faults: each, sound, isWhole });
    return lines();
  };
  return { take, metrics };
}

test("record faults: a line when a record becomes unreadable, and one when that ends", (t) => {
  const { take, metrics } = createFaults();
  t.snapshot({
    begins: take(["a", "b"]),
    again: take(["a", "b"], ["c"]),
    ends: take(["b"], ["a"]),
    returns: take(["a"]),
    removed: take(["a"], [], true),
    metrics: metrics.render(),
  });
});

test("record faults: keys and what is remembered are bounded", (t) => {
  const { take } = createFaults();
  t.is(take(["k".repeat(10_000)])[0].key.length, 64);
  const many = Array.from({ length: 1_000 }, (_, i) => `i-${i}`);
  const lines = take(many).map(({ message }) => message);
  t.is(lines.length, 256);
  t.is(lines.at(-1), "record.unreadable_more");
  t.deepEqual(take(many), []);
});
