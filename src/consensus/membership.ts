/** Membership arithmetic: quorums of plain and joint memberships, and the steps of a change. Pure functions. */
import type { Address, ReplicaId } from '../model/identifiers.js';
import type { Membership } from './types.js';

const EMPTY_MEMBERSHIP: Membership = { voters: [], outgoingVoters: [], learners: [], addresses: {} };

/** A membership without members: the initial membership of a joining replica. */
export function emptyMembership(): Membership {
  return EMPTY_MEMBERSHIP;
}

/** Encodes a membership as the data of a log entry of kind `membership`. */
export function encodeMembership(membership: Membership): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(membership));
}

/** Reverses `encodeMembership`. The input is trusted, as it comes from this replica's own log. */
export function decodeMembership(data: Uint8Array): Membership {
  return JSON.parse(new TextDecoder().decode(data)) as Membership;
}

/** Whether a change of voters is in progress, so that both majorities must agree. */
export function isJoint(membership: Membership): boolean {
  return membership.outgoingVoters.length > 0;
}

/** Whether the replica is a voter in either half of the membership. */
export function isVoter(membership: Membership, replica: ReplicaId): boolean {
  return membership.voters.includes(replica) || membership.outgoingVoters.includes(replica);
}

/** Voters of both halves, without duplicates. */
export function allVoters(membership: Membership): ReplicaId[] {
  return [...new Set([...membership.voters, ...membership.outgoingVoters])];
}

/** Voters and learners, without duplicates. */
export function allMembers(membership: Membership): ReplicaId[] {
  return [...new Set([...allVoters(membership), ...membership.learners])];
}

function majorityOf(count: number): number {
  return Math.floor(count / 2) + 1;
}

/** Largest value that a majority of `replicas` has reached. */
function majorityValue(replicas: readonly ReplicaId[], getValue: (replica: ReplicaId) => number): number {
  const descending = replicas.map(getValue).sort((a, b) => b - a);
  return descending[majorityOf(replicas.length) - 1] ?? 0;
}

/** Largest value that a quorum has reached; both halves of a joint membership must have reached it. */
export function quorumValue(membership: Membership, getValue: (replica: ReplicaId) => number): number {
  if (membership.voters.length === 0) {
    return 0;
  }
  const incoming = majorityValue(membership.voters, getValue);
  if (!isJoint(membership)) {
    return incoming;
  }
  return Math.min(incoming, majorityValue(membership.outgoingVoters, getValue));
}

/** Whether the replicas that satisfy `predicate` are a quorum. */
export function hasQuorum(membership: Membership, predicate: (replica: ReplicaId) => boolean): boolean {
  return quorumValue(membership, (replica) => (predicate(replica) ? 1 : 0)) === 1;
}

/** Adds a learner; if the replica is a member already, only its address is set. */
export function withLearner(membership: Membership, replica: ReplicaId, address: Address): Membership {
  const isMember = allMembers(membership).includes(replica);
  return {
    ...membership,
    learners: isMember ? membership.learners : [...membership.learners, replica],
    addresses: { ...membership.addresses, [replica]: address },
  };
}

/** Removes a learner; has no effect on a voter. */
export function withoutLearner(membership: Membership, replica: ReplicaId): Membership {
  const learners = membership.learners.filter((learner) => learner !== replica);
  return withAddressesOfMembers({ ...membership, learners });
}

/** First step of a change of voters, after which both the old and the new majority must agree. */
export function enterJoint(membership: Membership, voters: readonly ReplicaId[]): Membership {
  return {
    ...membership,
    voters: [...voters],
    outgoingVoters: [...membership.voters],
    learners: membership.learners.filter((learner) => !voters.includes(learner)),
  };
}

/** Last step of a change of voters: only the new voters remain, and removed voters stop being members. */
export function leaveJoint(membership: Membership): Membership {
  return withAddressesOfMembers({ ...membership, outgoingVoters: [] });
}

function withAddressesOfMembers(membership: Membership): Membership {
  const members = allMembers(membership);
  const kept = Object.entries(membership.addresses).filter(([replica]) => members.includes(replica));
  return { ...membership, addresses: Object.fromEntries(kept) };
}
