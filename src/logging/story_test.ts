import test from "ava";
import { findStory } from "./story.ts";

function line(message: string, detail: Record<string, unknown>): string {
  const time = "2026-01-01T00:00:00.000Z";
  return JSON.stringify({ time, vm: "vm-1", message, request: "r", ...detail });
}

test("story: refusals that no server had a part in name their cause", (t) => {
  const causes = [
    line("request.turned_away", { reason: "this VM is stopping" }),
    line("request.read_late", { timeout: 100, age: 480 }),
  ].map((each) => findStory("r", [each]).cause);
  t.deepEqual(causes, [
    "503 at once, not run: this VM is stopping",
    "503, not run: read 480 ms after it came, when its caller's 100 ms were over",
  ]);
});

test("story: a refusal for want of room at a busy key tells the share and its age", (t) => {
  const reason = "the key is asked for more than its server can do";
  const { cause } = findStory("r", [
    line("request.crowded_out", { share: 0.1, chance: 0.5, limitAge: 300 }),
    line("request.refused", { reason, service: "stock", age: 2 }),
  ]);
  t.is(
    cause,
    "503 after 2 ms, not run: the key is asked for more than its server can do: " +
      "0.1 of its requests have room, by what the term holder told 300 ms before " +
      "(service stock)",
  );
});
