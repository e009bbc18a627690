/**
 * Converts assignments to the compact form used in messages between VMs, and
 * back.
 *
 * @module
 */
import type { Assignment } from "../keyspace/index.ts";
import type { CompactAssignment } from "./peer_message.ts";

/** Server index of a range that is assigned to no server. */
const NO_SERVER = -1;

/**
 * Returns the compact form of an assignment. The term and the version, which
 * the message has anyway, are left out.
 */
export function compactAssignment(assignment: Assignment): CompactAssignment {
  const servers: CompactAssignment["servers"] = [];
  const indexes = new Map<string, number>();
  const ranges = assignment.ranges.map(
    (range): [number, number, number, boolean] => {
      const { first, last, server: id, address, isOpen } = range;
      if (id === null) return [first, last, NO_SERVER, isOpen];
      let index = indexes.get(id);
      if (index === undefined) {
        index = servers.push({ id, address }) - 1;
        indexes.set(id, index);
      }
      return [first, last, index, isOpen];
    },
  );
  return { service: assignment.service, servers, ranges };
}

/**
 * Restores an assignment from its compact form and the term and version of the
 * message that contained it.
 */
export function expandAssignment(
  { service, servers, ranges }: CompactAssignment,
  term: number,
  version: number,
): Assignment {
  return {
    service,
    term,
    version,
    ranges: ranges.map(([first, last, index, isOpen]) => ({
      first,
      last,
      server: servers[index]?.id ?? null,
      address: servers[index]?.address ?? null,
      isOpen,
    })),
  };
}
