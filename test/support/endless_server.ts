/**
 * Program that listens at the address given first. It answers each request with
 * a few bytes that are no response, and after SIGUSR2 with bytes that do not
 * end: the text given second, then the third again and again. It runs as a
 * process of its own, since it uses all processor time that it gets.
 *
 * @module
 */
import { createServer, type Socket } from "node:net";

/** Size of a write, in bytes. */
const WRITE_SIZE = 64 * 1_024;

function sendEndlessly(socket: Socket, bytes: Buffer): void {
  while (!socket.destroyed && socket.write(bytes));
  if (!socket.destroyed) {
    socket.once("drain", () => sendEndlessly(socket, bytes));
  }
}

const [address, beginning, piece] = process.argv.slice(2);
const [host, port] = address.split(":");
const bytes = Buffer.from(piece.repeat(Math.ceil(WRITE_SIZE / piece.length)));
let isEndless = false;
process.once("SIGUSR2", () => isEndless = true);
createServer((socket) => {
  socket.on("error", () => {});
  socket.on("data", (request) => {
    const id = /x-plumloft-request-id: (\S+)/i.exec(request.toString("latin1"));
    if (id === null) return;
    if (!isEndless) return void socket.end("no response");
    socket.write(beginning.replace("REQUEST_ID", id[1]));
    sendEndlessly(socket, bytes);
  });
}).listen(Number(port), host);
