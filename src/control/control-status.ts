/** What operators see of a control member and, on the leader, of the upstreams' sessions. */
import type { RaftStatus } from '../consensus/types.js';
import type { SessionView } from '../lease/granter-types.js';
import type { MonotonicMillis, ReplicaId, UpstreamId } from '../model/identifiers.js';
import type { Registry } from '../registry/types.js';
import type { WaitingReplica } from './automatic-repair.js';
import type { ConnectedRouter } from './router-desk.js';
import type { OperatorResponse, UpstreamHealth } from './types.js';

export interface ControlStatusSource {
  readonly raft: RaftStatus;
  readonly registry: Registry;
  /** Empty on members that don't lead. */
  readonly sessions: readonly SessionView[];
  readonly routers: readonly ConnectedRouter[];
  readonly waitingReplicas: readonly WaitingReplica[];
  readonly memberSilentMillis: Readonly<Record<ReplicaId, number>>;
}

export function controlStatus(source: ControlStatusSource, now: MonotonicMillis): OperatorResponse {
  const { raft, registry, sessions, routers, waitingReplicas, memberSilentMillis } = source;
  const keyed = [...registry.services().values()].filter(({ definition }) => definition.keyed);
  const unowned = keyed.map(({ definition }) => registry.unownedShards(definition.name).size);
  const moving = [...registry.upstreams().keys()].map((upstream) => movingTo(registry, upstream));
  return {
    type: 'status',
    raft,
    revision: registry.revision,
    upstreams: sessions.map((view) => healthOf(view, registry, now)),
    routers: routers.map(({ router, revision, heardAt }) => ({
      router,
      revision,
      silentMillis: now - heardAt,
    })),
    waitingReplicas,
    memberSilentMillis,
    unownedShards: sum(unowned),
    movingShards: sum(moving),
  };
}

function healthOf(view: SessionView, registry: Registry, now: MonotonicMillis): UpstreamHealth {
  return {
    upstream: view.upstream,
    state: view.failing ? 'unreachable' : view.phase,
    silentMillis: view.answeredAt === null ? null : now - view.answeredAt,
    shards: registry.shardsOwnedBy(view.upstream).size,
    draining: view.answer?.draining.length ?? 0,
  };
}

/** Number of owned shards with a planned move to an upstream. */
function movingTo(registry: Registry, upstream: UpstreamId): number {
  const owners = [...registry.shardsMovingTo(upstream)].map(
    (shard) => registry.shards().get(shard)?.owner ?? null,
  );
  return owners.filter((owner) => owner !== null).length;
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}
