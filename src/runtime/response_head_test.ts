import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import test from "ava";
import fc from "fast-check";
import { findHeadFault, forwardedHead } from "./response_head.ts";

function received(statusCode: number, rawHeaders: string[] = []) {
  return { statusCode, statusMessage: "", rawHeaders };
}

// Guards against a 101 that is passed on as the final response, so that the
// caller waits for another one or takes the next response for it.
test("response head: only statuses of final responses are valid", (t) => {
  const statuses = [0, 99, 100, 101, 199, 200, 404, 503, 599, 600, 999];
  t.snapshot(
    Object.fromEntries(
      statuses.map((each) => [each, findHeadFault(received(each))]),
    ),
  );
});

// Guards against headers that Node's parser lets through on some architectures
// and that end the process when they are passed on.
test("response head: names that are no tokens and values with control characters are invalid", (t) => {
  const headers = [
    ["Content-Type", "text/plain"],
    ["X-Text", "caf\u00e9"],
    ["Content Type", "text/plain"],
    ["", "a"],
    ["Na\u00efve", "a"],
    ["X-Line", "a\r\nb"],
    ["X-Null", "a\0b"],
    ["X-Long".padEnd(500, " "), "a"],
  ];
  t.snapshot(headers.map((each) => findHeadFault(received(200, each))));
});

test("response head: whatever has no fault can be passed on", (t) => {
  const text = fc.string({ unit: "binary", maxLength: 8 });
  const name = fc.oneof(text, fc.constantFrom("Date", "Connection", "a b", ""));
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: 1_200 }),
      text,
      fc.array(fc.tuple(name, text), { maxLength: 4 }),
      (statusCode, statusMessage, pairs) => {
        const head = { statusCode, statusMessage, rawHeaders: pairs.flat() };
        if (findHeadFault(head) !== null) return;
        const { status, statusText, headers } = forwardedHead(head);
        const request = new IncomingMessage(new Socket());
        new ServerResponse(request).writeHead(status, statusText, headers);
      },
    ),
    { seed: 79, numRuns: 2_000 },
  );
  t.pass();
});
