import test from "ava";
import { traceRequest } from "./request_trace.ts";

function line(message: string, detail: Record<string, unknown>): string {
  const time = "2026-01-01T00:00:00.000Z";
  return JSON.stringify({ time, vm: "vm-1", message, request: "r", ...detail });
}

test("request trace: a refusal that involved no server states its cause", (t) => {
  const causes = [
    line("request.turned_away", { reason: "this VM is stopping" }),
    line("request.read_late", { timeout: 100, age: 480 }),
  ].map((entry) => traceRequest("r", [entry]).cause);
  t.deepEqual(causes, [
    "503 immediately, not run: this VM is stopping",
    "503, not run: read 480 ms after it arrived, when its caller's timeout of 100 ms had expired",
  ]);
});

test("request trace: a refusal by a key limit states the admitted share and the age of the limit", (t) => {
  const reason = "the key is asked for more than its server can do";
  const { cause } = traceRequest("r", [
    line("request.crowded_out", { share: 0.1, chance: 0.5, limitAge: 300 }),
    line("request.refused", { reason, service: "stock", age: 2 }),
  ]);
  t.is(
    cause,
    "503 after 2 ms, not run: the key is asked for more than its server can do: " +
      "0.1 of its requests are admitted, by the limit that the term holder sent 300 ms before " +
      "(service stock)",
  );
});

// Guards against an explanation by which no response arrived.
test("request trace: a refusal by a server that does not state it is named with its status", (t) => {
  const reason = "the server failed and may have run it";
  const { cause } = traceRequest("r", [
    line("request.unknown", { server: "orders-1", status: 503 }),
    line("request.failed", { status: 502, reason, age: 20 }),
  ]);
  t.is(
    cause,
    "502: orders-1 responded 503 without stating that it has not run it " +
      "(the server failed and may have run it)",
  );
});
