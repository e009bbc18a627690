/**
 * Tells the orderly end of a connection from a reset.
 *
 * @module
 */
import type { Socket } from "node:net";
import { RelayedSocket } from "./relayed_socket.ts";

/**
 * Resolves at the end of the connection: to null if the other side closed it in
 * order, or to the error if it reset it. A reset that arrives together with the
 * last bytes is read as an orderly end, but writing zero bytes then fails. On a
 * connection through another VM, the other side is the server: that VM has to
 * state its end.
 */
export function detectReset(socket: Socket): Promise<Error | null> {
  return new Promise((resolve) => {
    socket.prependOnceListener("end", () => {
      if (socket instanceof RelayedSocket && !socket.isServerEnded) {
        return resolve(new Error("connection ended by the VM between"));
      }
      socket.write("", (error) => resolve(error ?? null));
    });
  });
}
