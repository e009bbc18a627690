/**
 * Messages between entry processes.
 *
 * @module
 */
import * as z from "zod";
import { configurationSchema } from "../catalog/index.ts";
import {
  backendServerSchema,
  evacuationNewsSchema,
  rateStatementSchema,
} from "../fleet/index.ts";
import {
  assignmentSchema,
  exposureSchema,
  keyLimitSchema,
} from "../keyspace/index.ts";
import { crashRecordSchema, permitAnswerSchema } from "../quarantine/index.ts";
import { tokenAnswerSchema } from "../rates/index.ts";
import { registryNewsSchema } from "../registry/index.ts";

const count = z.number().int().nonnegative();

/** Records of one word about requests under which servers have ended. */
const MAXIMUM_RECORDS = 256;

/** What a process knows of requests under which servers have ended. */
const quarantineWordSchema = z.object({
  /** Digest of what all VMs should know, or null where none is asked for. */
  digest: count.nullable(),
  records: z.array(crashRecordSchema).max(MAXIMUM_RECORDS),
});

/** See {@linkcode quarantineWordSchema}. */
export type QuarantineWord = z.infer<typeof quarantineWordSchema>;

/** What a process knows: all messages carry it. */
const knowledgeSchema = z.object({
  /** Newest assignments: the term, and the number of the change within it. */
  term: count,
  version: count,
  /** Version of the configuration in force, or -1. */
  configuration: z.number().int(),
  /** Evacuated availability zones; left out while nothing is known of them, and by
   * VMs that have not been renewed yet. */
  evacuation: evacuationNewsSchema.optional(),
  /** With reports and answers to them; VMs that have not been renewed yet leave it
   * out and pass over it. */
  quarantine: quarantineWordSchema.optional(),
});

/** See {@linkcode knowledgeSchema}. */
export type Knowledge = z.infer<typeof knowledgeSchema>;

/** Who holds a term, and where it is reached. */
const holderAddressSchema = z.object({
  term: count,
  vm: z.string(),
  address: z.string(),
  /** Fitness of the fittest VM that it hears of, itself included. */
  fitness: z.number().nonnegative(),
});

/** See {@linkcode holderAddressSchema}. */
export type HolderAddress = z.infer<typeof holderAddressSchema>;

/** What every message of a term holder to its followers says besides. */
const holderWordSchema = knowledgeSchema.extend({
  /** Number of VMs that the holder hears, itself included. */
  vms: count,
  /** Fitness of the fittest VM that it hears, itself included. */
  fittest: z.number().nonnegative(),
  /** Milliseconds since the sending of its last call that the store answered: how
   * old what it knows may be. VMs that have not been renewed yet leave it out. */
  storeSilence: z.number().nonnegative().optional(),
});

/** See {@linkcode holderWordSchema}. */
export type HolderWord = z.infer<typeof holderWordSchema>;

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

/** Load that a server stated some time ago. */
const statedLoadSchema = z.object({
  /** Requests that it had. */
  requests: count,
  /** Milliseconds since. */
  age: z.number().nonnegative(),
});

/** Maximum number of servers whose rate limits one message carries. */
export const MAXIMUM_RATES = 256;

/** Rate limits that servers have stated; absent in messages of older versions. A holder
 * that includes them, even if empty, supports token requests. */
const ratesSchema = z.array(rateStatementSchema.extend({ server: z.string() }))
  .max(MAXIMUM_RATES).optional();

/** A follower tells the term holder what it was asked for lately. */
const keysAskedSchema = knowledgeSchema.extend({
  kind: z.literal("keys.asked"),
  samples: z.array(z.object({ service: z.string(), keys: z.array(count) })),
  /** Answer times of the servers that hold keys, measured since the report
   * before: the mean in milliseconds, and of how many answers. */
  latencies: z.array(
    z.object({
      server: z.string(),
      mean: z.number(),
      count,
      /** The load that it stated with the last of them. */
      load: statedLoadSchema.optional(),
    }),
  ),
  /** Up to where it knows the registry, or null. */
  position: count.nullable(),
  /** When this was sent, by its own clock. */
  sentAt: z.number(),
  /** How fit its VM is to hold the term. */
  fitness: z.number().nonnegative(),
  /** Whether it leaves the store's news to the holder; VMs that have not been
   * renewed yet leave it out and read them. */
  isTold: z.boolean().optional(),
  rates: ratesSchema,
});

/** See {@linkcode keysAskedSchema}. */
export type KeyReport = z.infer<typeof keysAskedSchema>;

/** The holder answers a follower's report. */
const holderAliveSchema = holderWordSchema.extend({
  kind: z.literal("holder.alive"),
  /** What the follower does not know of the registry, or null. */
  registry: registryNewsSchema.nullable(),
  /** When the report was sent that this answers, by the follower's clock; VMs
   * that have not been renewed yet leave it out. */
  answersTo: z.number().optional(),
  /** All limits on requests for keys; none where they are left out. */
  limits: z.array(keyLimitSchema).optional(),
  /** Load of servers that hold keys and have no room, as they stated it. */
  loads: z.array(statedLoadSchema.extend({ server: z.string() })).optional(),
  rates: ratesSchema,
});

/** The holder tells the ranges that have changed after a version. */
const assignmentsChangedSchema = holderWordSchema.extend({
  kind: z.literal("assignments.changed"),
  /** Version on which the changes build. */
  since: count,
  /** Every service, with the ranges that take the place of the same keys. */
  changes: z.array(sharedAssignmentSchema),
});

/** The holder tells what has just changed in the registry. */
const serversToldSchema = knowledgeSchema.extend({
  kind: z.literal("servers.told"),
  registry: registryNewsSchema,
});

/** The holder tells all assignments. */
const assignmentsToldSchema = holderWordSchema.extend({
  kind: z.literal("assignments.told"),
  assignments: z.array(sharedAssignmentSchema),
});

/** The holder tells a follower that lacks it the configuration in force. */
const configurationToldSchema = knowledgeSchema.extend({
  kind: z.literal("configuration.told"),
  told: configurationSchema,
});

/** A holder that has heard of its successor tells its followers where it is; one
 * that has lost its authority tells that it lives, as its own successor. */
const holderChangedSchema = knowledgeSchema.extend({
  kind: z.literal("holder.changed"),
  holder: holderAddressSchema,
});

/** A process that cannot reach the store asks for all that another one knows. */
const stateWantedSchema = knowledgeSchema.extend({
  kind: z.literal("state.wanted"),
  /** Whether the answer may leave out what is known here already; VMs that have not
   * been renewed yet need it whole. */
  takesParts: z.boolean().optional(),
});

/** All that a process knows. */
const stateToldSchema = knowledgeSchema.extend({
  kind: z.literal("state.told"),
  state: z.object({
    /** Left out where the one that asked has it. */
    configuration: configurationSchema.optional(),
    servers: z.array(backendServerSchema),
    assignments: z.array(assignmentSchema),
    holder: holderAddressSchema.nullable(),
  }),
});

/** A new term holder asks the one before what it has granted. */
const termTakenSchema = knowledgeSchema.extend({
  kind: z.literal("term.taken"),
  formerTerm: count,
});

/** The former holder, which gives no more orders, tells. */
const termYieldedSchema = knowledgeSchema.extend({
  kind: z.literal("term.yielded"),
  /** The term that it yields to. */
  toTerm: count,
  exposures: z.array(exposureSchema),
});

/** Longest fingerprint of a request, in characters. */
const LONGEST_FINGERPRINT = 64;

const permitSchema = knowledgeSchema.extend({
  /** The whole fingerprint of a request under which servers have ended. */
  request: z.string().max(LONGEST_FINGERPRINT),
});

/** A VM asks the term holder whether it may run one copy of a request. */
const permitAskedSchema = permitSchema.extend({
  kind: z.literal("permit.asked"),
  /** For how long it would, in milliseconds. */
  duration: z.number().nonnegative(),
});

/** The holder answers. */
const permitToldSchema = permitSchema.extend({
  kind: z.literal("permit.told"),
  ...permitAnswerSchema.shape,
});

/** The VM needs it no longer. */
const permitReturnedSchema = permitSchema.extend({
  kind: z.literal("permit.returned"),
  /** Whether the server ended that ran the copy. */
  hasEnded: z.boolean(),
});

/** A VM asks the term holder for a token for a rate-limited server. */
const tokenAskedSchema = knowledgeSchema.extend({
  kind: z.literal("token.asked"),
  server: z.string(),
  /** The limit as known to this VM. */
  requestsPerSecond: z.number().positive(),
  /** Whether no route to the service has a more urgent priority than the request's. */
  isUrgent: z.boolean(),
});

/** The holder grants or denies a token. */
const tokenToldSchema = knowledgeSchema.extend({
  kind: z.literal("token.told"),
  server: z.string(),
  ...tokenAnswerSchema.shape,
});

/** Schema of {@linkcode PeerMessage}. */
export const peerMessageSchema = z.discriminatedUnion("kind", [
  keysAskedSchema,
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
]);

/** See the module's comment. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** A message of one kind. */
export type MessageOf<Kind extends PeerMessage["kind"]> = PeerMessage & {
  kind: Kind;
};

/** A message as it is sent. */
export interface PeerSend {
  kind: "peer.send";
  address: string;
  message: PeerMessage;
}
