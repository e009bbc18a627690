/**
 * Allocates loopback addresses for processes that must know their address
 * before they listen. Each test process uses its own network within
 * 127.0.0.0/8. The ports are below the ephemeral range that the kernel uses for
 * outgoing connections, so no other process can take an address between its
 * allocation and its use.
 *
 * @module
 */

const PORT = 8_080;
const LARGEST_OCTET = 254;

let addressCount = 0;

/** Returns an address that no other test process uses. */
export function loopbackAddress(): string {
  const host = addressCount % LARGEST_OCTET + 1;
  const port = PORT + Math.floor(addressCount / LARGEST_OCTET);
  addressCount += 1;
  const { pid } = process;
  const network = `${1 + (pid >> 8) % LARGEST_OCTET}.${pid & 0xff}`;
  return `127.${network}.${host}:${port}`;
}
