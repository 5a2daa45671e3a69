/** Raft as a deterministic core: inputs and the time go in, effects come out. */
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
