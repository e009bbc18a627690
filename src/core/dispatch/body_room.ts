/**
 * Limits the bytes of request bodies that this VM has in flight to each server.
 * A server that receives more than its memory takes would crash.
 *
 * @module
 */
import type { TrackedServer } from "../fleet/index.ts";

/**
 * Number of VMs that is assumed while it is not known. It is large, since the
 * bytes that a server receives are divided among them.
 */
const UNKNOWN_VMS = 200;

/**
 * Whether a server can take a body of `bytes` bytes from this VM now. The bodies
 * of all VMs in flight to it are limited to `bytesPerSlot` for each of its
 * slots, and `vmCount` VMs, null if unknown, have equal shares of that. A server
 * takes one body from each VM, however large it is, and any request without one.
 */
export function hasBodyRoom(
  server: TrackedServer,
  bytes: number,
  bytesPerSlot: number,
  vmCount: number | null,
): boolean {
  if (bytes === 0 || server.bodyBytes === 0) return true;
  const share = bytesPerSlot * server.entry.slots / (vmCount ?? UNKNOWN_VMS);
  return server.bodyBytes + bytes <= share;
}
