/** Membership arithmetic: quorums of plain and joint memberships, and the steps of a change. Pure functions. */
import type { Address, ReplicaId } from '../model/identifiers.js';
import type { Membership } from './types.js';

const EMPTY_MEMBERSHIP: Membership = { voters: [], outgoingVoters: [], learners: [], addresses: {} };

/** A membership of nobody: what a joining replica knows. */
export function emptyMembership(): Membership {
  return EMPTY_MEMBERSHIP;
}

/** As the data of a log entry of kind `membership`. */
export function encodeMembership(membership: Membership): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(membership));
}

/** The reverse of `encodeMembership`; its input comes from this replica's own log. */
export function decodeMembership(data: Uint8Array): Membership {
  return JSON.parse(new TextDecoder().decode(data)) as Membership;
}

/** Whether a change of voters is under way, so that both majorities must agree. */
export function isJoint(membership: Membership): boolean {
  return membership.outgoingVoters.length > 0;
}

/** Whether the replica votes in either half of the membership. */
export function isVoter(membership: Membership, replica: ReplicaId): boolean {
  return membership.voters.includes(replica) || membership.outgoingVoters.includes(replica);
}

/** Every voter of both halves, each once. */
export function allVoters(membership: Membership): ReplicaId[] {
  return [...new Set([...membership.voters, ...membership.outgoingVoters])];
}

/** Every voter and learner, each once. */
export function allMembers(membership: Membership): ReplicaId[] {
  return [...new Set([...allVoters(membership), ...membership.learners])];
}

function majorityOf(count: number): number {
  return Math.floor(count / 2) + 1;
}

/** Largest number that a majority of `replicas` has reached. */
function majorityValue(replicas: readonly ReplicaId[], reachedBy: (replica: ReplicaId) => number): number {
  const descending = replicas.map(reachedBy).sort((a, b) => b - a);
  return descending[majorityOf(replicas.length) - 1] ?? 0;
}

/** Largest number that a quorum has reached; both halves of a joint membership must agree. */
export function quorumValue(membership: Membership, reachedBy: (replica: ReplicaId) => number): number {
  if (membership.voters.length === 0) {
    return 0;
  }
  const incoming = majorityValue(membership.voters, reachedBy);
  if (!isJoint(membership)) {
    return incoming;
  }
  return Math.min(incoming, majorityValue(membership.outgoingVoters, reachedBy));
}

/** Whether the replicas for which `holds` is true are a quorum. */
export function hasQuorum(membership: Membership, holds: (replica: ReplicaId) => boolean): boolean {
  return quorumValue(membership, (replica) => (holds(replica) ? 1 : 0)) === 1;
}

/** Adds a learner; for a member it only sets the address. */
export function withLearner(membership: Membership, replica: ReplicaId, address: Address): Membership {
  const known = allMembers(membership).includes(replica);
  return {
    ...membership,
    learners: known ? membership.learners : [...membership.learners, replica],
    addresses: { ...membership.addresses, [replica]: address },
  };
}

/** Takes a learner out; a voter stays. */
export function withoutLearner(membership: Membership, replica: ReplicaId): Membership {
  const learners = membership.learners.filter((learner) => learner !== replica);
  return withAddressesOfMembers({ ...membership, learners });
}

/** First step of a change of voters: both the old and the new majority must agree. */
export function enterJoint(membership: Membership, voters: readonly ReplicaId[]): Membership {
  return {
    ...membership,
    voters: [...voters],
    outgoingVoters: [...membership.voters],
    learners: membership.learners.filter((learner) => !voters.includes(learner)),
  };
}

/** Last step: the new voters alone. Voters that left are no members any more. */
export function leaveJoint(membership: Membership): Membership {
  return withAddressesOfMembers({ ...membership, outgoingVoters: [] });
}

function withAddressesOfMembers(membership: Membership): Membership {
  const members = allMembers(membership);
  const kept = Object.entries(membership.addresses).filter(([replica]) => members.includes(replica));
  return { ...membership, addresses: Object.fromEntries(kept) };
}
