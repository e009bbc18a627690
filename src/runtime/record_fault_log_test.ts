import { Writable } from "node:stream";
import test from "ava";
import { Logger } from "../logging/index.ts";
import { EntryMetrics } from "./entry_metrics.ts";
import { RecordFaultLog } from "./record_fault_log.ts";

function createFaultLog() {
  const text: string[] = [];
  const output = new Writable({
    write: (chunk, _encoding, done) => {
      text.push(String(chunk));
      done();
    },
  });
  const logger = Logger.create("vm", "info", output);
  const metrics = EntryMetrics.create(() => ({}));
  const faultLog = RecordFaultLog.create("servers", logger, metrics);
  const lines = () => {
    logger.flush();
    return text.splice(0).join("").split("\n").filter((line) => line !== "")
      .map((line) => {
        const { message, feed, key, reason, known } = JSON.parse(line);
        return { message, feed, key, reason, known };
      });
  };
  const update = (
    faultyKeys: string[],
    sound: string[] = [],
    isWhole = false,
  ) => {
    const faults = faultyKeys.map((key) => ({
      key,
      reason: `broken ${key}`,
    }));
    faultLog.update({ faults, sound, isWhole });
    return lines();
  };
  return { update, metrics };
}

test("record fault log: logs when a record becomes unreadable and when it is readable again", (t) => {
  const { update, metrics } = createFaultLog();
  t.snapshot({
    begins: update(["a", "b"]),
    again: update(["a", "b"], ["c"]),
    ends: update(["b"], ["a"]),
    returns: update(["a"]),
    removed: update(["a"], [], true),
    metrics: metrics.render(),
  });
});

test("record fault log: limits the length and number of keys", (t) => {
  const { update } = createFaultLog();
  t.is(update(["k".repeat(10_000)])[0].key.length, 64);
  const many = Array.from({ length: 1_000 }, (_, i) => `i-${i}`);
  const lines = update(many).map(({ message }) => message);
  t.is(lines.length, 256);
  t.is(lines.at(-1), "record.unreadable_more");
  t.deepEqual(update(many), []);
});
