/**
 * Format of network addresses in settings and configuration files.
 *
 * @module
 */
import * as z from "zod";

/** Schema of an IPv4 address with a port, such as `127.0.0.1:8080`. */
export const addressSchema = z.string().regex(
  /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
  "an address of the form 127.0.0.1:8080",
);

/** Host and port of an address. */
export interface Endpoint {
  host: string;
  port: number;
}

/** Splits an address that {@linkcode addressSchema} has validated. */
export function parseAddress(address: string): Endpoint {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}
