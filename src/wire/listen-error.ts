/** One-line errors for addresses that can't be listened on. */
import { createServer } from 'node:net';
import { TernmountError, toError } from '../errors/ternmount-error.js';
import type { Address } from '../model/identifiers.js';
import { ownEntry } from '../text/own-entry.js';
import { parseAddress } from './address.js';

const REASONS: Readonly<Record<string, string>> = {
  EADDRINUSE: 'is in use by another process',
  EADDRNOTAVAIL: "isn't an address of this machine",
  EACCES: 'needs more rights',
};

/** Reasons that pass: another process still stops, or the machine's network still starts. */
const PASSING_CODES = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

/** Listening at an address failed. */
export class ListenError extends TernmountError {
  /** Whether the same address may be listened on a moment later. */
  readonly mayPass: boolean;

  constructor(address: Address, cause: Error) {
    const { code = '' } = cause as NodeJS.ErrnoException;
    const reason = ownEntry(REASONS, code) ?? `can't be listened on (${code || cause.message})`;
    super({ code: 'TERNMOUNT_LISTEN_FAILED', retriable: false, info: { code } }, `${address} ${reason}`);
    this.mayPass = PASSING_CODES.has(code);
  }
}

/** Throws `ListenError` if an address is in use. Called at start, before any state is touched. */
export async function ensureAddressFree(address: Address): Promise<void> {
  const { host, port } = parseAddress(address);
  const server = createServer();
  try {
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen({ host, port, exclusive: true }, resolve);
    });
  } catch (thrown) {
    throw new ListenError(address, toError(thrown));
  }
  await new Promise((resolve) => server.close(resolve));
}
