/** @file Parses the addresses in the settings and in messages from workers. */

/** A host name or IPv4 address, and a port. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Parses `HOST:PORT`. */
export function parseHostAndPort(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
