/** Session leases and grants: the granter's side (control leader) and the holder's side (a server that owns keys). */
export { createGrantHolder } from './grant-holder.js';
export type {
  GranterConfig,
  SessionCall,
  SessionChange,
  SessionPhase,
  SessionTarget,
  SessionView,
} from './granter-types.js';
export type {
  Admission,
  GrantHolder,
  GrantHolderConfig,
  HolderEvent,
  HolderStatus,
  Ticket,
} from './holder-types.js';
export { leaseBound, longestLeaseMillis } from './lease-bound.js';
export { LeaseGranter } from './lease-granter.js';
export * from './types.js';
