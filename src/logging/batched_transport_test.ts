import { Writable } from "node:stream";
import test from "ava";
import { Logger } from "./logger.ts";

/**
 * Waits for the next turn of the event loop, so that pending events are
 * handled.
 */
const nextTurn = () => new Promise((resolve) => setImmediate(resolve));

test("logging: a broken output does not end the process, and dropped lines are counted", async (t) => {
  const output = new Writable({
    write: (_chunk, _encoding, done) => done(new Error("EPIPE")),
  });
  const logger = Logger.create("vm", "info", output);
  logger.write("info", "first", {});
  logger.flush();
  await nextTurn();
  t.is(logger.dropped, 0);
  logger.write("info", "second", {});
  t.is(logger.dropped, 1);
  logger.flush();
});
