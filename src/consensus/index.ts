/** Raft as a deterministic core, which maps inputs and the time to effects. */
export { createRaft } from './core.js';
export {
  allMembers,
  allVoters,
  decodeMembership,
  encodeMembership,
  isJoint,
  isVoter,
} from './membership.js';
export type * from './types.js';
