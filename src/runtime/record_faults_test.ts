import { Writable } from "node:stream";
import test from "ava";
import { Journal } from "../logging/index.ts";
import { EntryMetrics } from "./entry_metrics.ts";
import { DecodeFailureLog } from "./record_faults.ts";

function createLog() {
  const text: string[] = [];
  const output = new Writable({
    write: (chunk, _encoding, done) => {
      text.push(String(chunk));
      done();
    },
  });
  const logger = Journal.create("vm", "info", output);
  const metrics = EntryMetrics.create(() => ({}));
  const failureLog = DecodeFailureLog.create("servers", logger, metrics);
  const lines = () => {
    logger.flush();
    return text.splice(0).join("").split("\n").filter((line) => line !== "")
      .map((line) => {
        const { message, feed, key, reason, known } = JSON.parse(line);
        return { message, feed, key, reason, known };
      });
  };
  const update = (
    failedKeys: string[],
    sound: string[] = [],
    isWhole = false,
  ) => {
    const failures = failedKeys.map((key) => ({
      key,
      reason: `broken ${key}`,
    }));
    failureLog.update({ faults: failures, sound, isWhole });
    return lines();
  };
  return { update, metrics };
}

test("decode failure log: logs when a record becomes unreadable and when it is readable again", (t) => {
  const { update, metrics } = createLog();
  t.snapshot({
    begins: update(["a", "b"]),
    again: update(["a", "b"], ["c"]),
    ends: update(["b"], ["a"]),
    returns: update(["a"]),
    removed: update(["a"], [], true),
    metrics: metrics.render(),
  });
});

test("decode failure log: limits the length and number of keys", (t) => {
  const { update } = createLog();
  t.is(update(["k".repeat(10_000)])[0].key.length, 64);
  const many = Array.from({ length: 1_000 }, (_, i) => `i-${i}`);
  const lines = update(many).map(({ message }) => message);
  t.is(lines.length, 256);
  t.is(lines.at(-1), "record.unreadable_more");
  t.deepEqual(update(many), []);
});
