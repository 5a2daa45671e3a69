/** The replicated state machine of the control cluster. */
import { RegistryMachine } from './registry-machine.js';
import { RegistryState } from './registry-state.js';
import { decodeState } from './snapshot-codec.js';
import type { Registry } from './types.js';

/** Creates an empty registry, before the first log entry. */
export function createRegistry(): Registry {
  return new RegistryMachine(new RegistryState());
}

/** Restores a registry from the bytes of `Registry.encode`. Throws `RegistrySnapshotError` if they can't be decoded. */
export function decodeRegistry(bytes: Uint8Array): Registry {
  return new RegistryMachine(decodeState(bytes));
}

export { deepJson } from './canonical-json.js';
export { MAX_RECENT_CHANGES } from './change-ring.js';
export { DEDUP_MAX_ENTRIES, DEDUP_RETENTION_MILLIS } from './dedup-table.js';
export { RegistryError, RegistryOrderError, RegistrySnapshotError } from './errors.js';
export type * from './types.js';
