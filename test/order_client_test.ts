import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import test, { type ExecutionContext } from "ava";
import { PlatformOrders } from "../platform/index.ts";

/** A sender of orders, and the address of a server that answers them so. */
async function startOrders(
  t: ExecutionContext,
  respond: RequestListener,
): Promise<{ orders: PlatformOrders; address: string }> {
  const server = createServer(respond);
  await new Promise<void>((next) => server.listen(0, "127.0.0.1", next));
  const orders = PlatformOrders.create();
  t.teardown(() => {
    orders.close();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { orders, address: `127.0.0.1:${port}` };
}

/** An order to take keys back. */
function releaseAt(address: string) {
  return {
    kind: "order.release",
    order: 1,
    service: "stock",
    first: 0,
    last: 9,
    server: "server",
    address,
    token: 7,
    mayConnect: true,
  } as const;
}

// Seen: addresses of keyed servers that had crashed passed to another service,
// and their keys were on the move for 5 to 7 s; all orders there were answered
// 400. Such a server takes an order for a caller's request, and one without an
// id is refused before it is looked at whom it is meant for.
test("orders: a server of another service is found out by its refusal", async (t) => {
  const { orders, address } = await startOrders(t, (request, response) => {
    const hasId = request.headers["x-plumloft-request-id"] !== undefined;
    response.writeHead(hasId ? 421 : 400).end();
  });
  const outcome = await orders.release(releaseAt(address), 500);
  t.is(outcome.kind, "misdirected");
});

// A second answer may come late, where the next one is due: taken for the answer
// to a release, it would free keys on which the server still works.
test("orders: an answer to another order is none", async (t) => {
  const { orders, address } = await startOrders(t, (_, response) => {
    response.writeHead(200, { "X-Plumloft-Request-Id": "another" }).end();
  });
  const outcome = await orders.release(releaseAt(address), 500);
  t.is(outcome.kind, "failed");
});
