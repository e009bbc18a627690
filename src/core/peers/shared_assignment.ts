/**
 * Turns assignments into their short form between processes and back.
 *
 * @module
 */
import type { Assignment } from "../keyspace/index.ts";
import type { SharedAssignment } from "./peer_message.ts";

/** Index that stands for no server. */
const NO_SERVER = -1;

/** The short form of an assignment. */
export function shareAssignment(assignment: Assignment): SharedAssignment {
  const servers: SharedAssignment["servers"] = [];
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

/** The assignment of a short form. */
export function expandAssignment(
  { service, servers, ranges }: SharedAssignment,
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
