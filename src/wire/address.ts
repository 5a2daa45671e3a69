/** Parses and formats addresses of the form `host:port`. */
import type { Address } from '../model/identifiers.js';
import { MalformedFrameError } from './wire-error.js';

export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

const ADDRESS_PATTERN = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/;

/** Splits an address; IPv6 hosts are in brackets. Throws `MalformedFrameError` on a malformed address. */
export function parseAddress(address: Address): HostAndPort {
  const match = ADDRESS_PATTERN.exec(address);
  const port = Number(match?.[3]);
  const host = match?.[1] ?? match?.[2];
  if (host === undefined || port > 65535) {
    throw new MalformedFrameError(`${JSON.stringify(address)} is not host:port`);
  }
  return { host, port };
}

export function formatAddress({ host, port }: HostAndPort): Address {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
