/** Addresses written as `host:port`. */

export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `host:port`; throws if there is no port. */
export function parseAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  const port = Number(address.slice(colon + 1));
  if (colon < 1 || !Number.isInteger(port)) {
    throw new RangeError(`${address} isn't host:port`);
  }
  return { host: address.slice(0, colon), port };
}
