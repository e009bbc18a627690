import { connect } from "node:net";
import test from "ava";
import { connectCaller } from "../../test/support/caller_connection.ts";

/** Callers whose connections wait at the same time. */
const CALLERS = 20;

// Seen: on a small VM under a burst, and after all VMs had lost power, requests
// reached servers 0.5 to 2.4 s after their callers had left, though the loop
// was late by less than 0.1 s. Node takes one new connection a turn of its loop;
// where turns take milliseconds, connections wait in the kernel with their
// requests and their ends, which are read in two turns.
//
// In a file of its own: other tests make the loop late, which hides the fault.
test("callers: those that left while their connections waited are not served", async (t) => {
  const { socket, occurrences } = await connectCaller(t, {
    maximumHeaderBytes: 400,
    maximumBodyBytes: 10,
    headerTimeout: 1_000,
    idleTimeout: 5_000,
  });
  await new Promise((next) => socket.once("connect", next));
  const callers = Array.from({ length: CALLERS }, () => {
    const caller = connect(socket.remotePort!, socket.remoteAddress!);
    caller.resume();
    caller.end("GET / HTTP/1.1\r\nHost: h.example\r\n\r\n");
    return new Promise((next) => caller.once("close", next));
  });
  await Promise.all(callers);
  const arrivals = occurrences.filter(({ kind }) => kind === "request.arrived");
  t.is(arrivals.length, 0);
});
