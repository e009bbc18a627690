import test from "ava";
import { BodyBuffer } from "./body_buffer.ts";

const KILOBYTE = 1_024;

// Guards against bodies that take 64 KB each and are counted with two bytes.
test("body buffer: what small chunks take is small, and counted", (t) => {
  const before = process.memoryUsage().arrayBuffers;
  const bodies: BodyBuffer[] = [];
  let counted = 0;
  for (let i = 0; i < 500; i++) {
    const body = BodyBuffer.create();
    for (let j = 0; j < 2; j++) counted += body.add(Buffer.from("x"));
    bodies.push(body);
  }
  const grown = process.memoryUsage().arrayBuffers - before;
  t.true(grown < 1_000 * KILOBYTE, `${grown}`);
  t.true(counted >= 500 * KILOBYTE && counted < 1_000 * KILOBYTE);
  t.is(bodies[0].take().toString(), "xx");
});

// Guards against blocks whose unused rest stays allocated when a large chunk
// follows, which is kept as it is.
test("body buffer: chunks of all sizes are kept in order, without unused rests", (t) => {
  const sizes = [1, 3, 900, 5_000, 40_000, 7, 70_000, 1, 1, 30_000, 60_000];
  const chunks = sizes.map((size, i) => Buffer.alloc(size, i));
  const body = BodyBuffer.create();
  let counted = 0;
  for (const chunk of chunks) counted += body.add(chunk);
  const whole = Buffer.concat(chunks);
  t.is(counted, whole.length);
  t.deepEqual(body.take(), whole);
  t.is(body.take().length, 0);
});

// Guards against more memory for many small chunks than for one large one.
test("body buffer: a body in chunks of a byte takes at most twice its size", (t) => {
  const body = BodyBuffer.create();
  let counted = 0;
  for (let size = 1; size <= 200 * KILOBYTE; size++) {
    counted += body.add(Buffer.from("x"));
    t.true(counted >= size && counted <= 2 * size + KILOBYTE, `${size}`);
  }
});
