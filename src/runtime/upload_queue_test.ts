import test from "ava";
import { UploadQueue } from "./upload_queue.ts";

/** Creates a queue; `add` adds an attempt and `started` has those that run. */
function createQueue(limit: number) {
  const started: number[] = [];
  const queue = UploadQueue.create(() => limit);
  const add = (attempt: number, bytes: number, server = "a") =>
    queue.add(attempt, server, bytes, () => started.push(attempt));
  return { queue, add, started };
}

test("upload queue: requests to a server wait above its limit, in order", (t) => {
  const { queue, add, started } = createQueue(100);
  add(1, 60);
  add(2, 60);
  add(3, 10);
  add(4, 60, "b");
  t.deepEqual(started, [1, 4]);
  queue.end(1);
  t.deepEqual(started, [1, 4, 2, 3]);
});

test("upload queue: a request above the limit is sent alone, one without a body at once", (t) => {
  const { queue, add, started } = createQueue(100);
  add(1, 500);
  add(2, 1);
  add(3, 0);
  t.deepEqual(started, [1, 3]);
  queue.end(1);
  t.deepEqual(started, [1, 3, 2]);
});

// Guards against a cancelled request that is sent later, and against bytes that
// stay counted, after which the server would receive nothing more.
test("upload queue: an attempt that ends while it waits is never sent", (t) => {
  const { queue, add, started } = createQueue(100);
  add(1, 100);
  add(2, 100);
  queue.end(2);
  queue.end(1);
  queue.end(1);
  add(3, 100);
  add(4, 100);
  t.deepEqual(started, [1, 3]);
});

test("upload queue: an attempt that ends as it starts permits the next one", (t) => {
  const started: number[] = [];
  const queue = UploadQueue.create(() => 100);
  for (const attempt of [1, 2, 3]) {
    queue.add(attempt, "a", 100, () => {
      started.push(attempt);
      if (attempt === 2) queue.end(2);
    });
  }
  queue.end(1);
  t.deepEqual(started, [1, 2, 3]);
});
