import { createServer, type RequestListener } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { PlatformOrderSender } from "../platform/index.ts";

/**
 * Starts a server that responds with `respond`; returns its address and an
 * order sender.
 */
async function startOrderServer(
  t: ExecutionContext,
  respond: RequestListener,
): Promise<{ orders: PlatformOrderSender; address: string }> {
  const server = createServer(respond);
  await new Promise<void>((next) => server.listen(0, "127.0.0.1", next));
  const orders = PlatformOrderSender.create();
  t.teardown(() => {
    orders.close();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { orders, address: `127.0.0.1:${port}` };
}

/** Returns an order that releases keys of the server at `address`. */
function releaseOrder(address: string) {
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
    relay: null,
  } as const;
}

// Guards against keys that can't be moved for 5 to 7 s after the address of a
// crashed keyed server was reassigned to a server of another service. That
// server handles an order like a caller's request, and rejects a request
// without an id with status 400 before it checks the intended recipient. Thus
// an order needs a request id.
test("orders: a server of another service rejects an order as misdirected", async (t) => {
  const { orders, address } = await startOrderServer(t, (request, response) => {
    const hasId = request.headers["x-plumloft-request-id"] !== undefined;
    response.writeHead(hasId ? 421 : 400).end();
  });
  const outcome = await orders.release(releaseOrder(address), 500);
  t.is(outcome.kind, "misdirected");
});

// A delayed duplicate response may arrive in place of the response to the next
// order. If it were accepted as the response to a release, keys that the server
// still uses would be granted to another server.
test("orders: an order fails if the response belongs to another order", async (t) => {
  const { orders, address } = await startOrderServer(t, (_, response) => {
    response.writeHead(200, { "X-Plumloft-Request-Id": "another" }).end();
  });
  const outcome = await orders.release(releaseOrder(address), 500);
  t.is(outcome.kind, "failed");
});

// Guards against orders that all fail after one late duplicate response: each
// one got the response to the order before it.
test("orders: the connection of a response to another order is closed", async (t) => {
  const sockets = new Set<Socket>();
  const { orders, address } = await startOrderServer(t, (request, response) => {
    const { socket } = request;
    sockets.add(socket);
    const id = request.headers["x-plumloft-request-id"];
    response.writeHead(200, { "X-Plumloft-Request-Id": id });
    if (id !== "order-2") return void response.end();
    socket.write(
      "HTTP/1.1 200 OK\r\nX-Plumloft-Request-Id: order-1\r\n" +
        "Content-Length: 0\r\n\r\n",
    );
    setTimeout(() => response.end(), 20);
  });
  const outcomes: string[] = [];
  for (const token of [1, 2, 3, 4]) {
    const order = { ...releaseOrder(address), token };
    outcomes.push((await orders.release(order, 500)).kind);
  }
  t.deepEqual(outcomes, ["accepted", "failed", "accepted", "accepted"]);
  t.is(sockets.size, 2);
});

test("orders: the outcome has what the server states of itself with its response", async (t) => {
  const statementOf = async (
    status: number,
    headers: Record<string, string | string[]>,
  ) => {
    const { orders, address } = await startOrderServer(t, (_, response) => {
      response.writeHead(status, headers).end();
    });
    return (await orders.release(releaseOrder(address), 500)).statement;
  };
  const leaving = { "Server-Leaving": "1" };
  t.true((await statementOf(200, leaving))?.isLeaving);
  t.true((await statementOf(409, leaving))?.isLeaving);
  t.is((await statementOf(503, { "Retry-After": "3" }))?.backoff, 3_000);
  // Node's parser keeps the first of several fields.
  const repeated = await statementOf(503, { "Retry-After": ["3", "5"] });
  t.is(repeated?.backoff, 3_000);
  t.is(await statementOf(200, {}), undefined);
  t.is(await statementOf(421, leaving), undefined);
  const another = { ...leaving, "X-Plumloft-Instance-Id": "another" };
  t.is(await statementOf(200, another), undefined);
});
