/** The status of a control member for operators, including the upstreams' sessions on the leader. */
import type { RaftStatus } from '../consensus/types.js';
import type { MonotonicMillis, ReplicaId, UpstreamId } from '../model/identifiers.js';
import type { Registry } from '../registry/types.js';
import type { WaitingReplica } from './automatic-repair.js';
import type { DepartedRouter } from './departed-routers.js';
import type { FleetStatus } from './fleet-capacity/fleet-capacity.js';
import type { ObservedSession } from './leader-duties.js';
import type { ConnectedRouter } from './router-requests.js';
import type { ServiceMeasures } from './service-measures.js';
import type { ConstrainedUpstream, OperatorResponse, UpstreamHealth } from './types.js';
import type { UnownedShards } from './unowned-tracker.js';

/** Input of the status. */
export interface ControlStatusSource {
  readonly raft: RaftStatus;
  readonly registry: Registry;
  /** Empty on members that don't lead. */
  readonly sessions: readonly ObservedSession[];
  /** Empty on members that don't lead. */
  readonly services: readonly ServiceMeasures[];
  readonly routers: readonly ConnectedRouter[];
  /** Empty on members that don't lead. */
  readonly needs: readonly ConstrainedUpstream[];
  /** `null` on members that don't lead. */
  readonly fleet: FleetStatus | null;
  readonly departed: readonly DepartedRouter[];
  readonly unowned: readonly UnownedShards[];
  readonly leaderSince: MonotonicMillis;
  readonly waitingReplicas: readonly WaitingReplica[];
  readonly memberSilentMillis: Readonly<Record<ReplicaId, number>>;
}

/** Builds the response to `get-status`. */
export function controlStatus(source: ControlStatusSource, now: MonotonicMillis): OperatorResponse {
  const { raft, registry, sessions, unowned, waitingReplicas, memberSilentMillis } = source;
  const moving = [...registry.upstreams().keys()].map((upstream) => countMovesTo(registry, upstream));
  return {
    type: 'status',
    raft,
    revision: registry.revision,
    upstreams: sessions.map((view) => healthOf(view, registry, now)),
    services: source.services,
    routers: routersOf(source, now),
    leaderSinceMillis: now - source.leaderSince,
    unowned,
    waitingReplicas,
    memberSilentMillis,
    unownedShards: sum(unowned.map(({ shards }) => shards)),
    movingShards: sum(moving),
    ranges: rangesOf(registry),
    evacuations: registry.evacuations().map(({ zone }) => zone),
    needs: source.needs,
    fleet: source.fleet,
    suspects: suspectsOf(registry),
  };
}

function rangesOf(registry: Registry): { total: number; withoutOwner: number } {
  const ranges = [...registry.services().keys()].flatMap((service) => registry.ranges(service));
  return { total: ranges.length, withoutOwner: ranges.filter(({ owner }) => owner === null).length };
}

function suspectsOf(registry: Registry): { total: number; quarantined: number } {
  const suspects = registry.suspects();
  const quarantined = suspects.filter(({ quarantinedAt }) => quarantinedAt !== null).length;
  return { total: suspects.length, quarantined };
}

type RouterStatus = Extract<OperatorResponse, { type: 'status' }>['routers'][number];

function routersOf({ routers, departed }: ControlStatusSource, now: MonotonicMillis): RouterStatus[] {
  const statusOf = (router: DepartedRouter, connected: boolean): RouterStatus => ({
    router: router.router,
    revision: router.revision,
    silentMillis: now - router.heardAt,
    connected,
  });
  return [
    ...routers.map((router) => statusOf(router, true)),
    ...departed.map((router) => statusOf(router, false)),
  ];
}

function healthOf(view: ObservedSession, registry: Registry, now: MonotonicMillis): UpstreamHealth {
  return {
    upstream: view.upstream,
    state: view.failing ? 'unreachable' : view.phase,
    silentMillis: view.lastResponseAt === null ? null : now - view.lastResponseAt,
    shards: registry.shardsOwnedBy(view.upstream).size,
    draining: view.answer?.draining.length ?? 0,
  };
}

/** Number of owned shards with a planned move to an upstream. */
function countMovesTo(registry: Registry, upstream: UpstreamId): number {
  const owners = [...registry.shardsMovingTo(upstream)].map(
    (shard) => registry.shards().get(shard)?.owner ?? null,
  );
  return owners.filter((owner) => owner !== null).length;
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}
