/**
 * Messages between the router processes of different VMs. VMs of older versions
 * exchange them too, so kinds and properties keep their names.
 *
 * @module
 */
import * as z from "zod";
import { configurationSchema } from "../catalog/index.ts";
import {
  backendServerSchema,
  evacuationSnapshotSchema,
  MAXIMUM_LEAVING,
  MAXIMUM_REFUSING,
  rateLimitReportSchema,
} from "../fleet/index.ts";
import {
  assignmentSchema,
  confirmedRangeSchema,
  keyLimitSchema,
  outstandingLeaseSchema,
} from "../keyspace/index.ts";
import { crashRecordSchema, permitAnswerSchema } from "../quarantine/index.ts";
import { tokenAnswerSchema } from "../rates/index.ts";
import { registryUpdateSchema } from "../registry/index.ts";

const count = z.number().int().nonnegative();

/** Maximum number of crash records in one message. */
const MAXIMUM_RECORDS = 256;

/** Crash records of a VM: the requests that crashed servers. */
const quarantineUpdateSchema = z.object({
  /**
   * Digest of the sender's records that all VMs should have, or null if the
   * receiver need not compare it with its own.
   */
  digest: count.nullable(),
  records: z.array(crashRecordSchema).max(MAXIMUM_RECORDS),
});

/** See {@linkcode quarantineUpdateSchema}. */
export type QuarantineUpdate = z.infer<typeof quarantineUpdateSchema>;

/** Part of the sender's state that all messages include. */
const senderStateSchema = z.object({
  /**
   * Term of the assignments that the sender has, and their version, which
   * counts the changes within the term. If they differ between services, those
   * of the oldest assignment.
   */
  term: count,
  version: count,
  /** Version of the sender's active configuration, or -1 if there is none. */
  configuration: z.number().int(),
  /**
   * Newest era of the store that the sender knows. Absent if it knows none, and
   * in messages of older versions.
   */
  era: count.optional(),
  /**
   * Evacuated availability zones. Absent while the sender does not know them,
   * and in messages of older versions.
   */
  evacuation: evacuationSnapshotSchema.optional(),
  /**
   * Included in reports, in requests for state and in messages whose only
   * purpose is to transfer it. Older versions omit and ignore it.
   */
  quarantine: quarantineUpdateSchema.optional(),
});

/** See {@linkcode senderStateSchema}. */
export type SenderState = z.infer<typeof senderStateSchema>;

/** The holder of a term: its VM and the address of the VM's process. */
const holderAddressSchema = z.object({
  term: count,
  vm: z.string(),
  address: z.string(),
  /** Highest fitness among the VMs that the holder knows, including itself. */
  fitness: z.number().nonnegative(),
});

/** See {@linkcode holderAddressSchema}. */
export type HolderAddress = z.infer<typeof holderAddressSchema>;

/**
 * State that most messages of the term holder to its followers include in
 * addition.
 */
const holderStateSchema = senderStateSchema.extend({
  /**
   * Number of VMs from which the holder receives reports, plus one for itself.
   */
  vms: count,
  /** Highest fitness among the VMs that the holder knows, including itself. */
  fittest: z.number().nonnegative(),
  /**
   * Milliseconds since the holder sent its last store call that was answered,
   * which is the maximum age of its copy of the store's data. Absent in
   * messages of older versions.
   */
  storeSilence: z.number().nonnegative().optional(),
});

/** See {@linkcode holderStateSchema}. */
export type HolderState = z.infer<typeof holderStateSchema>;

/**
 * A service's key ranges; they refer to servers by index to keep messages
 * small.
 */
const compactAssignmentSchema = z.object({
  service: z.string(),
  servers: z.array(
    z.object({ id: z.string(), address: z.string().nullable() }),
  ),
  /**
   * First key, last key, index of the server or -1, and whether the range is
   * open.
   */
  ranges: z.array(
    z.tuple([count, count, z.number().int().min(-1), z.boolean()]),
  ),
});

/** See {@linkcode compactAssignmentSchema}. */
export type CompactAssignment = z.infer<typeof compactAssignmentSchema>;

/** Load that a server reported some time ago. */
const reportedLoadSchema = z.object({
  /** Number of requests that were in progress or queued at the server. */
  requests: count,
  /** Milliseconds since the server reported it. */
  age: z.number().nonnegative(),
});

/** Maximum length of an address or of the name of a zone, in characters. */
const MAXIMUM_NAME_LENGTH = 255;
/** Maximum number of VMs that one message names as relays. */
const MAXIMUM_RELAYS = 16;

/** Maximum number of servers whose rate limits one message carries. */
export const MAXIMUM_RATE_LIMITS = 256;

/**
 * Rate limits reported by servers. Absent in messages of older versions, and in
 * a follower's report if there are none. If a holder's message includes the
 * list, even an empty one, the holder supports token requests.
 */
const ratesSchema = z.array(
  rateLimitReportSchema.extend({ server: z.string() }),
)
  .max(MAXIMUM_RATE_LIMITS).optional();

/**
 * Processes of servers that have stated that they are leaving. Absent in
 * messages of older versions, and if there are none.
 */
const leavingSchema = z.array(
  z.object({ server: z.string(), incarnation: count }),
)
  .max(MAXIMUM_LEAVING).optional();

/** Maximum number of entries on services in one message. */
export const MAXIMUM_SERVICE_ENTRIES = 64;
/** Maximum number of servers whose state one answer contains. */
export const MAXIMUM_SERVER_STATES = 96;
/** Maximum number of priorities for which an answer plans returns. */
const MAXIMUM_RETURN_WINDOWS = 8;

/** Requests that a VM has received for a service at one priority. */
const priorityDemandSchema = z.object({
  service: z.string(),
  priority: count,
  /** Requests since the last report. */
  arrived: count,
  /** Those of them that are returns of callers that were refused before. */
  returned: count,
  /** Requests since the last report that were refused with a retry delay. */
  refused: count,
});

/** See {@linkcode priorityDemandSchema}. */
export type PriorityDemand = z.infer<typeof priorityDemandSchema>;

/**
 * Time in which refused callers of a priority should return, in milliseconds
 * after the message was received.
 */
const returnWindowSchema = z.object({
  priority: count,
  from: z.number().nonnegative(),
  until: z.number().nonnegative(),
});

/** See {@linkcode returnWindowSchema}. */
export type ReturnWindow = z.infer<typeof returnWindowSchema>;

/** Which requests of a service all VMs admit. */
const serviceAdmissionSchema = z.object({
  service: z.string(),
  /** Requests with a rank below it are admitted; all if absent. */
  threshold: z.number().nonnegative().optional(),
  /** Expected time that an admitted request waits for a slot, in milliseconds. */
  wait: z.number().nonnegative(),
  /** When refused callers should return, by priority. */
  returns: z.array(returnWindowSchema).max(MAXIMUM_RETURN_WINDOWS).optional(),
});

/** See {@linkcode serviceAdmissionSchema}. */
export type ServiceAdmission = z.infer<typeof serviceAdmissionSchema>;

/** What the term holder knows of a server from the reports of all VMs. */
const serverStateSchema = z.object({
  server: z.string(),
  /** Share of the requests of a usual server that it should receive. */
  pace: z.number().min(0).max(1),
});

/** See {@linkcode serverStateSchema}. */
export type ServerState = z.infer<typeof serverStateSchema>;

/**
 * A follower's report to the term holder on the keys that were requested
 * recently.
 */
const followerReportSchema = senderStateSchema.extend({
  kind: z.literal("keys.asked"),
  /**
   * Sample of the keys that were requested since the last report, by service.
   */
  samples: z.array(z.object({ service: z.string(), keys: z.array(count) })),
  /**
   * Latencies of the servers that hold keys, measured since the last report:
   * the mean in milliseconds and the number of responses.
   */
  latencies: z.array(
    z.object({
      server: z.string(),
      mean: z.number(),
      count,
      /** The load that the server reported with the last of these responses. */
      load: reportedLoadSchema.optional(),
      /**
       * Requests that failed, or that the server refused although it has free
       * slots. Absent if there are none, and in messages of older versions.
       */
      failures: count.optional(),
    }),
  ),
  /** Registry position that the sender has reached, or null. */
  position: count.nullable(),
  /** When the report was sent, by the sender's clock. */
  sentAt: z.number(),
  /** Fitness of the sender's VM to hold the term. */
  fitness: z.number().nonnegative(),
  /**
   * Whether the sender receives store updates from the holder instead of the
   * store. Older versions omit it and read the store.
   */
  isTold: z.boolean().optional(),
  rates: ratesSchema,
  /** Leaving servers that the holder has not listed in its answers. */
  leaving: leavingSchema,
  /**
   * Processes of servers that have refused the sender's requests for their keys
   * for so long that another server should get the keys, with the time for
   * which they still do, in milliseconds. Absent in messages of older versions.
   */
  refusing: z.array(
    z.object({
      server: z.string(),
      incarnation: count,
      remaining: z.number().nonnegative(),
    }),
  )
    .max(MAXIMUM_REFUSING).optional(),
  /**
   * Availability zone of the sender if other VMs may connect to servers through
   * it. Absent if they may not, and in messages of older versions.
   */
  relayZone: z.string().max(MAXIMUM_NAME_LENGTH).optional(),
  /**
   * Demand by service and priority. Absent without admission by priority, and
   * in messages of older versions.
   */
  demand: z.array(priorityDemandSchema).max(MAXIMUM_SERVICE_ENTRIES).optional(),
});

/** See {@linkcode followerReportSchema}. */
export type FollowerReport = z.infer<typeof followerReportSchema>;

/** The holder's answer to a follower's report. */
const holderAliveSchema = holderStateSchema.extend({
  kind: z.literal("holder.alive"),
  /** Registry changes that the follower lacks, or null. */
  registry: registryUpdateSchema.nullable(),
  /**
   * When the answered report was sent, by the follower's clock. Older versions
   * omit it.
   */
  answersTo: z.number().optional(),
  /** All limits on requests for keys; absent if there are none. */
  limits: z.array(keyLimitSchema).optional(),
  /** Reported load of servers that hold keys and are at capacity. */
  loads: z.array(reportedLoadSchema.extend({ server: z.string() })).optional(),
  rates: ratesSchema,
  /** All leaving servers that the holder knows. */
  leaving: leavingSchema,
  /**
   * Peer addresses of VMs through which the receiver may connect to servers
   * that it does not reach directly. Absent while the holder does not know them
   * yet, and in messages of older versions.
   */
  relays: z.array(z.string().max(MAXIMUM_NAME_LENGTH)).max(MAXIMUM_RELAYS)
    .optional(),
  /**
   * Part of the minimum of the retry budget that the receiver may use, from 0
   * to 1. Absent if it is none, and in messages of older versions.
   */
  retryShare: z.number().min(0).max(1).optional(),
  /**
   * Admission of services whose demand exceeds what their servers can do, or
   * whose requests wait. Absent if there are none, and in messages of older
   * versions.
   */
  admissions: z.array(serviceAdmissionSchema).max(MAXIMUM_SERVICE_ENTRIES)
    .optional(),
  /**
   * Servers that should receive less than usual ones. Absent if there are none,
   * and in messages of older versions.
   */
  servers: z.array(serverStateSchema).max(MAXIMUM_SERVER_STATES).optional(),
});

/** Sent by the holder when key ranges have changed. */
const assignmentsChangedSchema = holderStateSchema.extend({
  kind: z.literal("assignments.changed"),
  /** Version to which the changes apply. */
  since: count,
  /**
   * All services, each with its changed ranges, which replace the ranges of the
   * same keys. A service without changed ranges is included too, since it gets
   * the new version.
   */
  changes: z.array(compactAssignmentSchema),
});

/** Sent by the holder when the registry has changed. */
const serversToldSchema = senderStateSchema.extend({
  kind: z.literal("servers.told"),
  registry: registryUpdateSchema,
});

/**
 * Sent by the holder with all assignments, at the start of its term and to
 * followers that lack more than recent changes.
 */
const assignmentsToldSchema = holderStateSchema.extend({
  kind: z.literal("assignments.told"),
  assignments: z.array(compactAssignmentSchema),
});

/**
 * Sent by the holder with the active configuration to a follower that lacks it.
 */
const configurationToldSchema = senderStateSchema.extend({
  kind: z.literal("configuration.told"),
  told: configurationSchema,
});

/**
 * Names the current term holder. A former holder sends it to its followers when
 * it has a successor. A holder that has lost its authority but has no successor
 * names itself, to show that it is still running. It is also sent to transfer a
 * quarantine update.
 */
const holderChangedSchema = senderStateSchema.extend({
  kind: z.literal("holder.changed"),
  holder: holderAddressSchema,
});

/**
 * Requests another VM's state for a process that cannot reach the store or has
 * no configuration.
 */
const stateWantedSchema = senderStateSchema.extend({
  kind: z.literal("state.wanted"),
  /**
   * Whether the answer may omit what the sender already has. Older versions
   * need the whole state.
   */
  takesParts: z.boolean().optional(),
});

/** Answer to a request for state. */
const stateToldSchema = senderStateSchema.extend({
  kind: z.literal("state.told"),
  state: z.object({
    /** Absent if the receiver has it. */
    configuration: configurationSchema.optional(),
    servers: z.array(backendServerSchema),
    assignments: z.array(assignmentSchema),
    holder: holderAddressSchema.nullable(),
  }),
});

/**
 * Sent by a new term holder to the previous one to request its unexpired
 * grants. Here, `term` is the new holder's term.
 */
const termTakenSchema = senderStateSchema.extend({
  kind: z.literal("term.taken"),
  formerTerm: count,
});

/** Maximum number of confirmed ranges in one message. */
const MAXIMUM_CONFIRMED_RANGES = 65_536;

/** Answer of the previous holder, which no longer sends orders to servers. */
const termYieldedSchema = senderStateSchema.extend({
  kind: z.literal("term.yielded"),
  /** Term of the new holder. */
  toTerm: count,
  /** Leases that servers may still have from the previous holder's grants. */
  exposures: z.array(outstandingLeaseSchema),
  /**
   * Ranges of which the previous holder has confirmed, since the store has
   * returned from a copy, which server holds them. Absent if it has not, and in
   * messages of older versions.
   */
  confirmed: z.array(confirmedRangeSchema).max(MAXIMUM_CONFIRMED_RANGES)
    .optional(),
});

/** Maximum length of a request fingerprint, in characters. */
const MAXIMUM_FINGERPRINT_LENGTH = 64;

const permitMessageSchema = senderStateSchema.extend({
  /** Complete fingerprint of a request that crashed servers. */
  request: z.string().max(MAXIMUM_FINGERPRINT_LENGTH),
});

/** Requests a permit to run one copy of a request from the term holder. */
const permitAskedSchema = permitMessageSchema.extend({
  kind: z.literal("permit.asked"),
  /** How long the copy may run, in milliseconds. */
  duration: z.number().nonnegative(),
});

/** The holder's answer, which grants or denies a permit. */
const permitToldSchema = permitMessageSchema.extend({
  kind: z.literal("permit.told"),
  ...permitAnswerSchema.shape,
});

/** Releases a permit that is no longer needed. */
const permitReturnedSchema = permitMessageSchema.extend({
  kind: z.literal("permit.returned"),
  /** Whether the server crashed while it ran the copy. */
  hasEnded: z.boolean(),
});

/** Requests a token for a rate-limited server from the term holder. */
const tokenAskedSchema = senderStateSchema.extend({
  kind: z.literal("token.asked"),
  server: z.string(),
  /** The server's rate limit as the sender knows it. */
  requestsPerSecond: z.number().positive(),
  /**
   * Whether no other route to the server's service has a more urgent priority
   * than the route of the request.
   */
  isUrgent: z.boolean(),
});

/** The holder's answer, which grants or denies a token. */
const tokenToldSchema = senderStateSchema.extend({
  kind: z.literal("token.told"),
  server: z.string(),
  ...tokenAnswerSchema.shape,
});

/**
 * Sent by a VM that is about to stop to the VMs that have connections through
 * it.
 */
const relayClosingSchema = senderStateSchema.extend({
  kind: z.literal("relay.closing"),
});

/** Schema of {@linkcode PeerMessage}. */
export const peerMessageSchema = z.discriminatedUnion("kind", [
  followerReportSchema,
  holderAliveSchema,
  assignmentsToldSchema,
  assignmentsChangedSchema,
  serversToldSchema,
  configurationToldSchema,
  holderChangedSchema,
  stateWantedSchema,
  stateToldSchema,
  termTakenSchema,
  termYieldedSchema,
  permitAskedSchema,
  permitToldSchema,
  permitReturnedSchema,
  tokenAskedSchema,
  tokenToldSchema,
  relayClosingSchema,
]);

/** A message between the router processes of different VMs. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** A message of one kind. */
export type MessageOf<Kind extends PeerMessage["kind"]> = PeerMessage & {
  kind: Kind;
};

/** Effect that sends a message to the VM at `address`. */
export interface PeerSend {
  kind: "peer.send";
  address: string;
  message: PeerMessage;
}
