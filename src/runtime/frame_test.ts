import test from "ava";
import fc from "fast-check";
import { encodeFrame, FrameDecoder, MAXIMUM_FRAME_LENGTH } from "./frame.ts";

const count = fc.nat();

const messages = fc.oneof(
  fc.record({
    kind: fc.constant("keys.asked"),
    term: count,
    version: count,
    samples: fc.array(
      fc.record({ service: fc.string(), keys: fc.array(count) }),
    ),
  }),
  fc.record({ kind: fc.string(), value: fc.jsonValue({ maxDepth: 5 }) }),
);

test("frames: decodes what was encoded, from chunks of any size", (t) => {
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

test("frames: deflates large values and decodes them from chunks of any size", (t) => {
  const value = (i: number) => ({
    kind: "told",
    routes: Array.from(
      { length: 400 },
      (_, j) => ({ name: `route-${i}-${j}` }),
    ),
  });
  const values = [value(1), { kind: "small" }, value(2), value(3)];
  const plain = Buffer.concat(values.map((each) => encodeFrame(each)));
  const bytes = Buffer.concat(values.map((each) => encodeFrame(each, true)));
  t.true(bytes.length < plain.length / 3, `${bytes.length}, ${plain.length}`);
  for (const size of [1, 3, 100, 5_000, bytes.length]) {
    const decoder = FrameDecoder.create();
    const decoded: unknown[] = [];
    for (let start = 0; start < bytes.length; start += size) {
      decoded.push(...decoder.push(bytes.subarray(start, start + size)));
    }
    t.deepEqual(decoded, values);
  }
});

test("frames: rejects a frame that inflates beyond the limit", (t) => {
  const value = { kind: "told", text: "x".repeat(MAXIMUM_FRAME_LENGTH) };
  const bytes = encodeFrame(value, true);
  t.true(bytes.length < MAXIMUM_FRAME_LENGTH / 100);
  t.throws(() => FrameDecoder.create().push(bytes));
});

test("frames: rejects an oversized frame by its length field", (t) => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(MAXIMUM_FRAME_LENGTH + 1, 0);
  const error = t.throws(() => FrameDecoder.create().push(header));
  t.snapshot(error?.message);
});

test("frames: rejects invalid data", (t) => {
  const garbage = Buffer.from([0, 0, 0, 2, 0xff, 0xff]);
  t.throws(() => FrameDecoder.create().push(garbage));
});
