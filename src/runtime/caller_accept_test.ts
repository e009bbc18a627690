import { connect } from "node:net";
import test from "ava";
import { connectCaller } from "../../test/support/caller_connection.ts";

/** Number of callers whose connections wait to be accepted at the same time. */
const CALLERS = 20;

// Guards against forwarding requests whose callers have disconnected. On a
// small VM during a burst, and after a power loss of all VMs, requests reached
// servers 0.5 to 2.4 s after their callers had disconnected, although the loop
// was late by less than 0.1 s. Node accepts one new connection per turn of its
// loop. When turns take milliseconds, connections are queued in the kernel with
// their requests and their ends, and Node reads the end one turn after the
// request.
//
// This test is in a separate file, since other tests delay the loop, which
// hides the failure.
test("caller server: does not forward requests of callers that disconnected before they were accepted", async (t) => {
  const { socket, events } = await connectCaller(t, {
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
  const arrivals = events.filter(({ kind }) => kind === "request.arrived");
  t.is(arrivals.length, 0);
});
