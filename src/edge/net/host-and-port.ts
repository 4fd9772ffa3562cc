/** @file The addresses that the settings and workers give. */

/** An IPv4 address and port. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Reads `HOST:PORT`. */
export function parseHostAndPort(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
