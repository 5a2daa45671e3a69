/** What the members of control answered, put together for the status page. */
import type { Address, ReplicaId } from '../../model/identifiers.js';
import type { UpstreamRecord } from '../../registry/types.js';
import type { StatusBody } from '../api-types.js';

/** One admin address that was asked. */
export interface MemberReport {
  readonly address: Address;
  /** `null`: it didn't answer. */
  readonly status: StatusBody | null;
  readonly problem: string | null;
}

export type RouterView = StatusBody['routers'][number];

/** The whole. */
export interface StatusView {
  readonly members: readonly MemberReport[];
  /** The leader's answer, if one that leads answered. */
  readonly leader: StatusBody | null;
  /** The best answer there is. */
  readonly best: StatusBody | null;
  /** Declarations by id; empty if they couldn't be read. */
  readonly upstreams: ReadonlyMap<string, UpstreamRecord>;
  /** Each router as the member that heard it last saw it. */
  readonly routers: readonly RouterView[];
}

function statusesOf(members: readonly MemberReport[]): StatusBody[] {
  return members.flatMap(({ status }) => (status === null ? [] : [status]));
}

/** The leader with the highest term. */
function leaderOf(statuses: readonly StatusBody[]): StatusBody | null {
  const leaders = statuses.filter(({ raft }) => raft.role === 'leader');
  return leaders.sort((left, right) => right.raft.term - left.raft.term)[0] ?? null;
}

function furthest(statuses: readonly StatusBody[]): StatusBody | null {
  return [...statuses].sort((left, right) => right.raft.commitIndex - left.raft.commitIndex)[0] ?? null;
}

function mergeRouters(statuses: readonly StatusBody[]): RouterView[] {
  const merged = new Map<string, RouterView>();
  for (const router of statuses.flatMap(({ routers }) => routers)) {
    const known = merged.get(router.router);
    if (known === undefined || router.silentMillis < known.silentMillis) {
      merged.set(router.router, router);
    }
  }
  return [...merged.values()].sort((left, right) => left.router.localeCompare(right.router));
}

/** Puts answers together. */
export function statusView(
  members: readonly MemberReport[],
  upstreams: readonly UpstreamRecord[],
): StatusView {
  const statuses = statusesOf(members);
  const leader = leaderOf(statuses);
  return {
    members,
    leader,
    best: leader ?? furthest(statuses),
    upstreams: new Map(upstreams.map((record) => [record.definition.id, record])),
    routers: mergeRouters(statuses),
  };
}

/** Voters that are heard: by the leader, or because they answered themselves. */
export function heardVoters({ best, leader, members }: StatusView, silentMillis: number): ReplicaId[] {
  const voters = best?.raft.membership.voters ?? [];
  const answered = new Set(statusesOf(members).map(({ raft }) => raft.self));
  const isHeard = (voter: ReplicaId): boolean =>
    leader === null
      ? answered.has(voter)
      : voter === leader.raft.self || (leader.memberSilentMillis[voter] ?? 0) < silentMillis;
  return voters.filter(isHeard);
}
