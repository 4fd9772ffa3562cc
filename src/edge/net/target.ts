/** @file The addresses that the settings and workers give. */

/** An IPv4 address and port. */
export interface Target {
  readonly host: string;
  readonly port: number;
}

/** Reads `HOST:PORT`. */
export function parseTarget(address: string): Target {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
