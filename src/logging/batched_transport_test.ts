import { Writable } from "node:stream";
import test from "ava";
import { Journal } from "./journal.ts";

/** Waits until the events of earlier turns have been handled. */
const turn = () => new Promise((next) => setImmediate(next));

test("log: an output that breaks ends nothing, and what is lost is counted", async (t) => {
  const output = new Writable({
    write: (_chunk, _encoding, done) => done(new Error("EPIPE")),
  });
  const journal = Journal.create("vm", "info", output);
  journal.write("info", "first", {});
  journal.flush();
  await turn();
  t.is(journal.dropped, 0);
  journal.write("info", "second", {});
  t.is(journal.dropped, 1);
  journal.flush();
});
