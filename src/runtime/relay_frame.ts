/**
 * Frames that open a connection to a backend server through another VM. After
 * them the connection between the VMs carries the bytes of the connection to
 * the server.
 *
 * @module
 */
import * as z from "zod";
import type { RelayRefusal } from "../core/reach/index.ts";
import { PROTOCOL_VERSION } from "./frame.ts";

const MAXIMUM_NAME_LENGTH = 255;
/** Longest time that a connection may wait for a server, in milliseconds. */
const MAXIMUM_RESPONSE_TIMEOUT = 120_000;

/** First frame of such a connection, in place of a hello. */
export const relayOpenSchema = z.object({
  kind: z.literal("relay.open"),
  protocol: z.literal(PROTOCOL_VERSION),
  vm: z.string().max(MAXIMUM_NAME_LENGTH),
  peerAddress: z.string().max(MAXIMUM_NAME_LENGTH),
  /** Id of the server. */
  server: z.string().max(MAXIMUM_NAME_LENGTH),
  /** Address of the server. */
  address: z.string().max(MAXIMUM_NAME_LENGTH),
  /**
   * Time after bytes for the server within which the server has to send some,
   * in milliseconds. Afterwards the connection to it is reset.
   */
  responseTimeout: z.number().positive().max(MAXIMUM_RESPONSE_TIMEOUT),
});

/** See {@linkcode relayOpenSchema}. */
export type RelayOpenFrame = z.infer<typeof relayOpenSchema>;

/**
 * Why the connection is not open: the reasons of the VM between, or what the
 * address of the server did.
 */
export type RelayFailure = RelayRefusal | "server_refused" | "server_silent";

const RELAY_FAILURES = [
  "stopping",
  "isolated",
  "unknown_server",
  "busy",
  "server_refused",
  "server_silent",
] as const satisfies readonly RelayFailure[];

/** Answer to {@linkcode relayOpenSchema}. */
export const relayAnswerSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("relay.opened") }),
  z.object({ kind: z.literal("relay.refused"), why: z.enum(RELAY_FAILURES) }),
]);

/** See {@linkcode relayAnswerSchema}. */
export type RelayAnswer = z.infer<typeof relayAnswerSchema>;
