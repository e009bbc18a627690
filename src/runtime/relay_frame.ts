/**
 * Frames of a connection to a backend server through another VM. The VM that
 * opens it sends one frame, then the bytes for the server. The VM between
 * answers with frames: whether the connection is open, then the bytes of the
 * server, and that the server has ended its connection.
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
  /**
   * Whether the sender reads the bytes of the server from frames. Older
   * versions omit it and read them as they are.
   */
  takesFrames: z.boolean().default(false),
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

const relayOpenedSchema = z.object({
  kind: z.literal("relay.opened"),
  /**
   * Whether the bytes of the server follow in frames. Older versions omit it
   * and send them as they are.
   */
  isFramed: z.boolean().default(false),
});

const relayRefusedSchema = z.object({
  kind: z.literal("relay.refused"),
  why: z.enum(RELAY_FAILURES),
});

/** Answer to {@linkcode relayOpenSchema}. */
export type RelayAnswer =
  | z.infer<typeof relayOpenedSchema>
  | z.infer<typeof relayRefusedSchema>;

/** Frames of the VM between. */
export const relayFrameSchema = z.discriminatedUnion("kind", [
  relayOpenedSchema,
  relayRefusedSchema,
  z.object({ kind: z.literal("relay.data"), bytes: z.instanceof(Buffer) }),
  /** The server has ended its connection in order; the last frame. */
  z.object({ kind: z.literal("relay.server_ended") }),
]);

/** See {@linkcode relayFrameSchema}. */
export type RelayFrame = z.infer<typeof relayFrameSchema>;
