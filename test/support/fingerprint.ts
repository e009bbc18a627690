/**
 * Creates request fingerprints for tests.
 *
 * @module
 */
import { Fingerprint } from "../../src/core/quarantine/index.ts";

/**
 * Returns the fingerprint of a GET request for `target` with an optional body.
 */
export function fingerprintOf(target: string, body = ""): Fingerprint {
  return Fingerprint.create({
    method: "GET",
    host: "h",
    target,
    body: Buffer.from(body),
  });
}
