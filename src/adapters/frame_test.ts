import test from "ava";
import fc from "fast-check";
import { EMPTY_LEDGER, foldRecord } from "../core/index.ts";
import { readConfiguration } from "../settings/index.ts";
import { encodeFrame, FrameDecoder, MAXIMUM_FRAME } from "./frame.ts";

const position = fc.record({ term: fc.nat(), version: fc.nat() });

/** Messages of fixed fields, and values with whatever fields. */
const messages = fc.oneof(
  fc.record({
    kind: fc.constant("renewal.asked"),
    incarnation: fc.nat(),
    sequence: fc.nat(),
    adopted: position,
    drained: position,
  }),
  fc.record({
    kind: fc.constant("renewal.answered"),
    incarnation: fc.nat(),
    sequence: fc.nat(),
    floor: position,
    adopted: position,
    member: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant("ledger.sent"),
    value: fc.jsonValue({ maxDepth: 5 }),
    nested: fc.dictionary(
      fc.string(),
      fc.array(fc.dictionary(fc.string(), position)),
    ),
  }),
);

test("frames: whatever is encoded comes out again, however it is cut", (t) => {
  fc.assert(
    fc.property(
      fc.array(messages, { maxLength: 20 }),
      fc.integer({ min: 1, max: 64 }),
      (values, size) => {
        const bytes = Buffer.concat(values.map((each) => encodeFrame(each)));
        const decoder = FrameDecoder.create();
        const decoded: unknown[] = [];
        for (let start = 0; start < bytes.length; start += size) {
          decoded.push(...decoder.push(bytes.subarray(start, start + size)));
        }
        const plain = (value: unknown) => JSON.parse(JSON.stringify(value));
        t.deepEqual(plain(decoded), plain(values));
      },
    ),
    { numRuns: 300, seed: 5 },
  );
});

test("frames: the log's state comes out of another process's codec", (t) => {
  const configuration = readConfiguration("examples/co-operative");
  const published = foldRecord(EMPTY_LEDGER, 1, {
    kind: "configuration.published",
    id: "first",
    operator: "o",
    basedOn: 0,
    publishedAt: 0,
    configuration,
  });
  const { ledger } = foldRecord(published.ledger, 2, {
    kind: "vm.started",
    site: "thessalia",
    vm: "entry-1",
    availabilityZone: "larisa",
    peerAddress: "127.0.0.1:1",
    startedAt: 0,
    nonce: "n",
  });
  const sent = { kind: "ledger.sent", ledger };
  for (let time = 0; time < 3; time++) {
    const decoded = FrameDecoder.create().push(encodeFrame(sent));
    t.deepEqual(decoded, [JSON.parse(JSON.stringify(sent))]);
  }
});

test("frames: one that is over-long is refused before it is read", (t) => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(MAXIMUM_FRAME + 1, 0);
  const error = t.throws(() => FrameDecoder.create().push(header));
  t.snapshot(error?.message);
});

test("frames: garbage is refused", (t) => {
  const garbage = Buffer.from([0, 0, 0, 2, 0xff, 0xff]);
  t.throws(() => FrameDecoder.create().push(garbage));
});
