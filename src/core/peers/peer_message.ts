/**
 * Messages between entry processes.
 *
 * @module
 */
import { z } from "zod";

const count = z.number().int().nonnegative();

/** The state of the assignments that a process knows. */
const positionSchema = z.object({
  term: count,
  /** Number of the change within the term. */
  version: count,
});

/** One service's ranges, with servers by their index to save bytes. */
const sharedAssignmentSchema = z.object({
  service: z.string(),
  servers: z.array(
    z.object({ id: z.string(), address: z.string().nullable() }),
  ),
  /** First key, last key, index of the server or -1, whether it is open. */
  ranges: z.array(
    z.tuple([count, count, z.number().int().min(-1), z.boolean()]),
  ),
});

/** See {@linkcode sharedAssignmentSchema}. */
export type SharedAssignment = z.infer<typeof sharedAssignmentSchema>;

/** A follower tells the term holder what it was asked for lately. */
const keysAskedSchema = positionSchema.extend({
  kind: z.literal("keys.asked"),
  samples: z.array(z.object({ service: z.string(), keys: z.array(count) })),
});

/** The holder confirms that a follower knows what there is. */
const holderAliveSchema = positionSchema.extend({
  kind: z.literal("holder.alive"),
  /** Number of VMs that the holder hears, itself included. */
  vms: count,
});

/** The holder tells all assignments. */
const assignmentsToldSchema = positionSchema.extend({
  kind: z.literal("assignments.told"),
  vms: count,
  assignments: z.array(sharedAssignmentSchema),
});

/** Schema of {@linkcode PeerMessage}. */
export const peerMessageSchema = z.discriminatedUnion("kind", [
  keysAskedSchema,
  holderAliveSchema,
  assignmentsToldSchema,
]);

/** See the module's comment. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** A message as it is sent. */
export interface PeerSend {
  kind: "peer.send";
  address: string;
  message: PeerMessage;
}
