/**
 * The stand-ins' own copy of the names that the platform speaks, as the deploy
 * file shapes them: a fault of the adapter must not be repeated here.
 *
 * @module
 */

/** Headers between entries and backend servers. */
export const HEADER = {
  requestId: "x-plumloft-request-id",
  timeout: "x-plumloft-deadline-ms",
  expectedServer: "x-plumloft-expect-instance",
  server: "x-plumloft-instance-id",
  signature: "x-plumloft-response-signature",
  notRun: "x-plumloft-not-executed",
  load: "x-plumloft-server-load",
  rateLimit: "server-limit",
  key: "x-plumloft-shard-key",
  handover: "x-plumloft-handover",
} as const;

/** Topic of backend servers' entries. */
export const REGISTRY_TOPIC = "keyed.servers";

/** A keyed record as the log frames it. */
export function frameRecord(key: string, value: string): Buffer {
  const name = Buffer.from(key);
  const content = Buffer.concat([
    Buffer.from([name.length]),
    name,
    Buffer.from(value),
  ]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}
