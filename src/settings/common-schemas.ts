/** Schemas shared by the settings of both daemons. */
import { z } from 'zod';
import { type ConfigLeaseTimings, DEFAULT_CONFIG_LEASE_TIMINGS } from '../model/configuration-lease.js';
import { addressSchema, splitAddress } from './addresses.js';
import { nameSchema } from './definition-schemas.js';

const MAX_CLOCK_RATE_ERROR = 0.1;
const ANY_HOST = new Set(['0.0.0.0', '::']);

/** Path of a file or folder. */
export const pathSchema = z.string({ error: 'expected a path' }).min(1, 'must not be empty');

/** Relative difference between the rates of two clocks. */
export const clockRateErrorSchema = z
  .number({ error: 'expected a share such as 0.005' })
  .min(0, 'must be 0 or more')
  .max(MAX_CLOCK_RATE_ERROR, `must be ${MAX_CLOCK_RATE_ERROR} or less`);

/** An address advertised to other processes; not `0.0.0.0`. */
export const reachableAddressSchema = addressSchema.refine((address) => !isAnyHost(address), {
  error: 'must be an address that others can connect to',
});

/** An IP address without a port. */
export const hostSchema = z.union([z.ipv4(), z.ipv6()], { error: 'expected an IP number without a port' });

/** Path of a URL. */
export const urlPathSchema = z.string({ error: 'expected a path' }).startsWith('/', 'must start with /');

/** Name of an HTTP header, converted to lower case. */
export const headerNameSchema = z
  .string({ error: 'expected the name of a header' })
  .regex(/^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/, 'must be the name of a header')
  .transform((name) => name.toLowerCase());

/** Whether the network between the machines is trusted, so that no secret and no tokens are required. */
export const trustedNetworkSchema = z.boolean({ error: 'expected true or false' }).optional();

/** Returns `address` with another port. */
export function withPort(address: string, port: number): string {
  const { host } = splitAddress(address) ?? { host: address };
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/** Zone of the process, and optionally the list of all zones, which detects a misspelt one. */
export const zoneFields = {
  zone: nameSchema,
  zones: z.array(nameSchema).min(1, 'needs one or more').optional(),
} as const;

/** Reports a zone that isn't in the list of zones. */
export function checkZone(
  fields: { readonly zone: string; readonly zones?: readonly string[] | undefined },
  context: z.RefinementCtx,
): void {
  if (fields.zones !== undefined && !fields.zones.includes(fields.zone)) {
    const message = `unknown zone ${JSON.stringify(fields.zone)} (zones: ${fields.zones.join(', ')})`;
    context.addIssue({ code: 'custom', path: ['zone'], message });
  }
}

/** Whether an address stands for all addresses of the machine. */
export function isAnyHost(address: string): boolean {
  return ANY_HOST.has(splitAddress(address)?.host ?? '');
}

/** Whether processes on other machines can connect; false for an invalid address. */
export function isRemotelyReachable(address: string): boolean {
  return splitAddress(address) !== undefined && !isLoopback(address);
}

/** Whether only processes on the same machine can connect. */
export function isLoopback(address: string): boolean {
  const host = splitAddress(address)?.host ?? '';
  return host === '::1' || host.startsWith('127.');
}

/** Returns the configuration lease timings of the settings, with defaults for omitted ones. */
export function completeConfigLease(fields: {
  readonly configLease?: number | undefined;
  readonly configSync?: number | undefined;
  readonly clockRateError?: number | undefined;
}): ConfigLeaseTimings {
  const defaults = DEFAULT_CONFIG_LEASE_TIMINGS;
  return {
    configLeaseMillis: fields.configLease ?? defaults.configLeaseMillis,
    syncMillis: fields.configSync ?? defaults.syncMillis,
    clockRateError: fields.clockRateError ?? defaults.clockRateError,
  };
}

/** Reports a refresh interval longer than half of the time that it must keep alive. */
export function checkAtMostHalf(
  short: { readonly name: string; readonly millis: number },
  long: { readonly name: string; readonly millis: number },
  path: readonly string[],
  context: z.RefinementCtx,
): void {
  if (short.millis * 2 > long.millis) {
    const message = `${short.name} (${short.millis}ms) must be at most half of ${long.name} (${long.millis}ms)`;
    context.addIssue({ code: 'custom', path: [...path, short.name], message });
  }
}
