/** Addresses: an IP address and a port. Host names aren't allowed, so that no address depends on DNS. */
import { isIP } from 'node:net';
import { z } from 'zod';

const MAX_PORT = 65_535;

/** Host and port of an address. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `1.2.3.4:80` or `[::1]:80`; returns `undefined` if it isn't an IP address with a port. */
export function splitAddress(address: string): HostAndPort | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:[\]]+)):(\d{1,5})$/.exec(address);
  if (match === null) {
    return undefined;
  }
  const [, bracketed, plain, digits] = match;
  const host = bracketed ?? plain ?? '';
  const family = bracketed === undefined ? 4 : 6;
  const port = Number(digits);
  return isIP(host) === family && port <= MAX_PORT ? { host, port } : undefined;
}

/** An address that other processes connect to. */
export const addressSchema = z
  .string({ error: 'expected an IP number with a port, e.g. 10.0.0.5:7400' })
  .superRefine((address, context) => {
    const parts = splitAddress(address);
    if (parts === undefined) {
      const message = `${JSON.stringify(address)} isn't an IP number with a port, e.g. 10.0.0.5:7400`;
      context.addIssue({ code: 'custom', message });
    } else if (parts.port === 0) {
      context.addIssue({ code: 'custom', message: `${JSON.stringify(address)}: port must be 1 to 65535` });
    }
  });
