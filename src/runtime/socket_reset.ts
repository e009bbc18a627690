/**
 * Closes connections without delivering what is queued on them.
 *
 * @module
 */
import type { Socket } from "node:net";

/** Resets a connection, so that bytes in transit are not delivered later. */
export function resetSocket(socket: Socket): void {
  // Node neither resets nor closes a connection whose end was already sent.
  if (socket.connecting || socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
