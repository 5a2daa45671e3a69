/** Public entry point of `ternmount/ledger`: at-most-once claims for embedding in a replicated state machine. */
export { Ledger, type LedgerOptions, type LedgerState } from './ledger.js';
export {
  ENTRIES_PER_SERVICE,
  IDENTIFIER_LIMIT,
  ISSUED_AHEAD_MILLIS,
  STORED_BODIES_PER_SERVICE,
  STORED_BODY_LIMIT,
} from './limits.js';
export type { KeptRecord, ServiceLedgerState, Tombstone } from './service-ledger.js';
export type * from './types.js';
