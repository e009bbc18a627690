/**
 * Messages between entry processes. Each is checked on arrival.
 *
 * @module
 */
import { z } from "zod";
import { ledgerSchema } from "./ledger/index.ts";
import { viewChangeSchema, viewSchema } from "./ownership/view.ts";
import { positionSchema } from "./position.ts";

const incarnation = z.number().int().nonnegative();
const sequence = z.number().int().nonnegative();

/** Asks a witness to confirm that nothing newer than `adopted` is adopted. */
export const renewalAskedSchema = z.object({
  kind: z.literal("renewal.asked"),
  incarnation,
  sequence,
  adopted: positionSchema,
  /** All attempts that views up to here made obsolete have ended. */
  drained: positionSchema,
});

/** A witness's answer to {@linkcode renewalAskedSchema}. */
export const renewalAnsweredSchema = z.object({
  kind: z.literal("renewal.answered"),
  incarnation,
  sequence,
  /** The witness confirms no view before this position. */
  floor: positionSchema,
  adopted: positionSchema,
  /** Whether the witness counts the asker among the members. */
  member: z.boolean(),
});

/** A new term holder asks for the promise to leave older terms behind. */
export const termOpenedSchema = z.object({
  kind: z.literal("term.opened"),
  term: incarnation,
});

/** The promise, with the position of the newest view adopted. */
export const termPromisedSchema = z.object({
  kind: z.literal("term.promised"),
  incarnation,
  term: incarnation,
  adopted: positionSchema,
});

/** The term holder issues a change of view. */
export const viewChangedSchema = z.object({
  kind: z.literal("view.changed"),
  change: viewChangeSchema,
  /** Backend servers that are lost: attempts at them are given up. */
  lost: z.array(z.string()),
});

/** A member reports what it has adopted. */
export const viewAdoptedSchema = z.object({
  kind: z.literal("view.adopted"),
  incarnation,
  adopted: positionSchema,
  drained: positionSchema,
});

/** Asks for the newest view that the receiver has adopted. */
export const viewFetchedSchema = z.object({ kind: z.literal("view.fetched") });

/** A whole view. */
export const viewSentSchema = z.object({
  kind: z.literal("view.sent"),
  view: viewSchema,
});

/** A member has seen a backend server fail. */
export const serverSuspectedSchema = z.object({
  kind: z.literal("server.suspected"),
  server: z.string(),
  cause: z.string(),
});

/** Asks for the folded state of the log, while the log cannot be read. */
export const ledgerFetchedSchema = z.object({
  kind: z.literal("ledger.fetched"),
});

/** The folded state of the log. */
export const ledgerSentSchema = z.object({
  kind: z.literal("ledger.sent"),
  ledger: ledgerSchema,
});

/** Asks a home of a request id whether the id is new. */
export const claimAskedSchema = z.object({
  kind: z.literal("claim.asked"),
  exchange: sequence,
  id: z.string().max(256),
  /** Tells this claim from others of the same id. */
  owner: z.string().max(256),
});

/** A home's answer to {@linkcode claimAskedSchema}. */
export const claimAnsweredSchema = z.object({
  kind: z.literal("claim.answered"),
  exchange: sequence,
  isNew: z.boolean(),
});

/** The request did not run: its id may be used again. */
export const claimReleasedSchema = z.object({
  kind: z.literal("claim.released"),
  id: z.string().max(256),
  owner: z.string().max(256),
});

/** Every message between peers. */
export const messageSchema = z.discriminatedUnion("kind", [
  renewalAskedSchema,
  renewalAnsweredSchema,
  termOpenedSchema,
  termPromisedSchema,
  viewChangedSchema,
  viewAdoptedSchema,
  viewFetchedSchema,
  viewSentSchema,
  serverSuspectedSchema,
  ledgerFetchedSchema,
  ledgerSentSchema,
  claimAskedSchema,
  claimAnsweredSchema,
  claimReleasedSchema,
]);

/** See {@linkcode messageSchema}. */
export type Message = z.infer<typeof messageSchema>;
