/**
 * Records that plumloft keeps in the platform's log. A conditional record names
 * the record that it was based on; the fold accepts the first such record and
 * refuses the others, so the log itself needs no compare-and-set, and a record
 * that was appended twice takes effect once.
 *
 * @module
 */
import { z } from "zod";
import { configurationSchema } from "../configuration/index.ts";
import { memberSchema, membershipSchema } from "../membership/index.ts";

const offset = z.number().int().nonnegative();
const name = z.string().min(1).max(63);

/** An operator publishes a whole configuration. */
export const configurationPublishedSchema = z.object({
  kind: z.literal("configuration.published"),
  /** Chosen by the publisher to find its own record again. */
  id: z.string().min(1).max(64),
  operator: z.string().max(200),
  /** Revision that the publisher edited; 0 for the first. */
  basedOn: offset,
  /** Milliseconds since the epoch by the publisher's clock, for display. */
  publishedAt: z.number(),
  configuration: configurationSchema,
});

/** An entry process has started; its offset becomes the incarnation. */
export const vmStartedSchema = z.object({
  kind: z.literal("vm.started"),
  site: name,
  vm: name,
  availabilityZone: name,
  peerAddress: z.string(),
  /** Milliseconds since the epoch by the VM's clock. */
  startedAt: z.number().default(0),
  /** Tells this run of the process from every other. */
  nonce: z.string().min(1).max(64),
});

/** A member takes over the term of its site. */
export const termClaimedSchema = z.object({
  kind: z.literal("term.claimed"),
  site: name,
  vm: name,
  incarnation: offset,
  /** Offset of the term that it ends; 0 for the first. */
  basedOn: offset,
});

/** The term holder says who takes part from here on. */
export const membershipChangedSchema = z.object({
  kind: z.literal("membership.changed"),
  site: name,
  /** The term under which it was written. */
  term: offset,
  /** Offset of the membership that it replaces; 0 for the first. */
  basedOn: offset,
  members: z.array(memberSchema),
  witnesses: z.array(memberSchema),
});

/** A start of an entry process, as the fold keeps it. */
export const startSchema = memberSchema.extend({ nonce: z.string() });

/** The current term of a site. */
export const termSchema = z.object({
  offset,
  vm: z.string(),
  incarnation: offset,
});

/** All that the fold keeps of one site. */
export const siteLedgerSchema = z.object({
  starts: z.array(startSchema),
  term: termSchema,
  membership: membershipSchema,
  /** Witnesses of the membership before, which may still renew leases. */
  previousWitnesses: z.array(memberSchema),
});

/** The configuration in force. */
export const acceptedConfigurationSchema = z.object({
  revision: offset,
  id: z.string(),
  operator: z.string(),
  publishedAt: z.number(),
  configuration: configurationSchema.nullable(),
});

/** All that the fold keeps. */
export const ledgerSchema = z.object({
  /** Offset of the next record to fold. */
  next: offset,
  accepted: acceptedConfigurationSchema,
  sites: z.record(z.string(), siteLedgerSchema),
});

/** Carries the fold's state forward past the log's retention. */
export const checkpointWrittenSchema = z.object({
  kind: z.literal("checkpoint.written"),
  ledger: ledgerSchema,
});

/** Every record of plumloft's stream. */
export const recordSchema = z.discriminatedUnion("kind", [
  configurationPublishedSchema,
  vmStartedSchema,
  termClaimedSchema,
  membershipChangedSchema,
  checkpointWrittenSchema,
]);

/** See {@linkcode recordSchema}. */
export type LogRecord = z.infer<typeof recordSchema>;
/** See {@linkcode ledgerSchema}. */
export type Ledger = z.infer<typeof ledgerSchema>;
/** See {@linkcode siteLedgerSchema}. */
export type SiteLedger = z.infer<typeof siteLedgerSchema>;
/** See {@linkcode startSchema}. */
export type Start = z.infer<typeof startSchema>;
/** See {@linkcode termSchema}. */
export type Term = z.infer<typeof termSchema>;
/** See {@linkcode acceptedConfigurationSchema}. */
export type AcceptedConfiguration = z.infer<typeof acceptedConfigurationSchema>;

/** One record as the log returns it, not yet checked. */
export interface LogEntry {
  offset: number;
  data: unknown;
}
