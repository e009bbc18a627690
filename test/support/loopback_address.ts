/**
 * Loopback addresses for processes that must know them before they listen. Each
 * test process has a network of its own within 127.0.0.0/8, and ports lie below
 * those that the kernel gives to outgoing connections, so nothing else can take
 * one in between.
 *
 * @module
 */

const PORT = 8_080;
const LARGEST_OCTET = 254;

let taken = 0;

/** An address that no other process of the tests uses. */
export function loopbackAddress(): string {
  const host = taken % LARGEST_OCTET + 1;
  const port = PORT + Math.floor(taken / LARGEST_OCTET);
  taken += 1;
  const { pid } = process;
  const network = `${1 + (pid >> 8) % LARGEST_OCTET}.${pid & 0xff}`;
  return `127.${network}.${host}:${port}`;
}
