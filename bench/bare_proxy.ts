/**
 * The baseline: a proxy of Node's `http` and `undici` that does nothing else.
 *
 * Arguments: address to listen at, addresses of the backend servers.
 *
 * @module
 */
import { createServer } from "node:http";
import { Pool } from "undici";

const [listen, ...servers] = process.argv.slice(2);
const pools = servers.map((server) =>
  new Pool(`http://${server}`, { connections: 64 })
);
let next = 0;

const proxy = createServer((request, response) => {
  const chunks: Buffer[] = [];
  request.on("data", (chunk: Buffer) => chunks.push(chunk));
  request.on("end", () => {
    next = (next + 1) % pools.length;
    pools[next].dispatch({
      method: request.method as "GET",
      path: request.url ?? "/",
      headers: request.headers,
      body: chunks.length === 0 ? null : Buffer.concat(chunks),
    }, {
      onRequestStart: () => {},
      onResponseStart: (_, status, headers) => {
        delete headers["keep-alive"];
        delete headers.connection;
        response.writeHead(status, headers);
      },
      onResponseData: (_, chunk) => {
        response.write(chunk);
      },
      onResponseEnd: () => response.end(),
      onResponseError: () => response.destroy(),
    });
  });
});
const [host, port] = listen.split(":");
proxy.listen(Number(port), host);
