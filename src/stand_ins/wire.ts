/**
 * The names of the platform's HTTP headers and of its registry topic, and the
 * encoding of its keyed records. The stand-ins use this copy instead of the one
 * in `platform/`, so that a fault there is not repeated here and tests detect
 * it.
 *
 * @module
 */

/** Headers between plumloft and backend servers. */
export const HEADER = {
  requestId: "x-plumloft-request-id",
  timeout: "x-plumloft-deadline-ms",
  expectedServer: "x-plumloft-expect-instance",
  server: "x-plumloft-instance-id",
  signature: "x-plumloft-response-signature",
  notRun: "x-plumloft-not-executed",
  load: "x-plumloft-server-load",
  rateLimit: "server-limit",
  leaving: "server-leaving",
  retryAfter: "retry-after",
  key: "x-plumloft-shard-key",
  handover: "x-plumloft-handover",
  era: "store-era",
} as const;

/** Topic in which backend servers register themselves. */
export const REGISTRY_TOPIC = "keyed.servers";
/** Topic to which operators write. */
export const OPERATOR_TOPIC = "keyed.op";

/**
 * Encodes a record of a keyed topic: a four-byte big-endian length, a one-byte
 * key length, the key and the value.
 */
export function frameRecord(key: string, value: string): Buffer {
  const keyBytes = Buffer.from(key);
  const content = Buffer.concat([
    Buffer.from([keyBytes.length]),
    keyBytes,
    Buffer.from(value),
  ]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}
