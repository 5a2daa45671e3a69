/** Merges the answers of the control members for the status page. */
import type { Address, ReplicaId } from '../../model/identifiers.js';
import type { UpstreamRecord } from '../../registry/types.js';
import type { StatusBody } from '../api-types.js';

/** The result of querying one admin address. */
export interface MemberReport {
  readonly address: Address;
  /** `null` if it didn't answer. */
  readonly status: StatusBody | null;
  readonly problem: string | null;
}

export type RouterView = StatusBody['routers'][number];

/** The merged view of all members. */
export interface StatusView {
  readonly members: readonly MemberReport[];
  /** The leader's answer; `null` if no leader answered. */
  readonly leader: StatusBody | null;
  /** The leader's answer, else the one with the highest commit index; `null` if no member answered. */
  readonly best: StatusBody | null;
  /** Declared upstreams by id; empty if they couldn't be read. */
  readonly upstreams: ReadonlyMap<string, UpstreamRecord>;
  /** Each router as reported by the member with the most recent contact. */
  readonly routers: readonly RouterView[];
}

function statusesOf(members: readonly MemberReport[]): StatusBody[] {
  return members.flatMap(({ status }) => (status === null ? [] : [status]));
}

/** Returns the leader with the highest term. */
function leaderOf(statuses: readonly StatusBody[]): StatusBody | null {
  const leaders = statuses.filter(({ raft }) => raft.role === 'leader');
  return leaders.sort((left, right) => right.raft.term - left.raft.term)[0] ?? null;
}

function mostAdvanced(statuses: readonly StatusBody[]): StatusBody | null {
  return [...statuses].sort((left, right) => right.raft.commitIndex - left.raft.commitIndex)[0] ?? null;
}

function mergeRouters(statuses: readonly StatusBody[]): RouterView[] {
  const merged = new Map<string, RouterView>();
  for (const router of statuses.flatMap(({ routers }) => routers)) {
    const existing = merged.get(router.router);
    if (existing === undefined || router.silentMillis < existing.silentMillis) {
      merged.set(router.router, router);
    }
  }
  return [...merged.values()].sort((left, right) => left.router.localeCompare(right.router));
}

/** Merges the members' answers. */
export function toStatusView(
  members: readonly MemberReport[],
  upstreams: readonly UpstreamRecord[],
): StatusView {
  const statuses = statusesOf(members);
  const leader = leaderOf(statuses);
  return {
    members,
    leader,
    best: leader ?? mostAdvanced(statuses),
    upstreams: new Map(upstreams.map((record) => [record.definition.id, record])),
    routers: mergeRouters(statuses),
  };
}

/** Returns the voters in contact with the leader; without a leader, those that answered the query. */
export function reachableVoters({ best, leader, members }: StatusView, silentMillis: number): ReplicaId[] {
  const voters = best?.raft.membership.voters ?? [];
  const answered = new Set(statusesOf(members).map(({ raft }) => raft.self));
  const isReachable = (voter: ReplicaId): boolean =>
    leader === null
      ? answered.has(voter)
      : voter === leader.raft.self || (leader.memberSilentMillis[voter] ?? 0) < silentMillis;
  return voters.filter(isReachable);
}
