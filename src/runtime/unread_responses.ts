/**
 * Resets the connections of callers that do not read their responses while the
 * process holds too many bytes. Otherwise a few of them could take the memory
 * of all others for as long as they like.
 *
 * @module
 */
import type { Socket } from "node:net";
import { resetSocket } from "./socket_reset.ts";

/**
 * Number of consecutive checks, one each second, without an accepted byte after
 * which a connection is reset. Checks are counted instead of time, so that a
 * stall of this process does not count.
 */
const UNREAD_CHECKS = 10;

/** A connection to which bytes wait to be sent. */
interface WaitingConnection {
  /** Bytes that the operating system has accepted so far. */
  accepted: number;
  /** Consecutive checks at which it had accepted no further byte. */
  checks: number;
}

/** See the module's comment. */
export class UnreadResponses {
  readonly #waiting = new Map<Socket, WaitingConnection>();

  private constructor() {}

  /** Creates a record without connections. */
  static create(): UnreadResponses {
    return new UnreadResponses();
  }

  /**
   * Checks these connections; called each second. Without pressure none is
   * reset, and earlier checks do not count.
   */
  check(sockets: Iterable<Socket>, isUnderPressure: boolean): void {
    const before = new Map(this.#waiting);
    this.#waiting.clear();
    if (!isUnderPressure) return;
    for (const socket of sockets) {
      const accepted = acceptedBytes(socket);
      if (accepted === null) continue;
      const last = before.get(socket);
      const checks = last?.accepted === accepted ? last.checks + 1 : 0;
      if (checks >= UNREAD_CHECKS) resetSocket(socket);
      else this.#waiting.set(socket, { accepted, checks });
    }
  }
}

/**
 * Bytes that the operating system has accepted on a connection; null if none
 * wait. Node's public counters include bytes that it has not accepted.
 */
function acceptedBytes(socket: Socket): number | null {
  const { _handle: handle } = socket as unknown as {
    _handle: { bytesWritten: number; writeQueueSize: number } | null;
  };
  if (!handle || handle.writeQueueSize === 0) return null;
  return handle.bytesWritten - handle.writeQueueSize;
}
