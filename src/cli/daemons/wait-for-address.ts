/** Waits until a daemon's address can be listened on. */
import type { Address } from '../../model/identifiers.js';
import { ensureAddressFree, listenPatiently } from '../../wire/index.js';
import type { CliIo } from '../cli-io.js';

/** Called before any state is touched. Throws `ListenError` if the address can't be used after a bounded wait. */
export function waitForAddress(address: Address, io: CliIo): Promise<void> {
  return listenPatiently(address, () => ensureAddressFree(address), io.stopSignal);
}
