/** What operators see of a control member and, on the leader, of the upstreams' sessions. */
import type { RaftStatus } from '../consensus/types.js';
import type { SessionView } from '../lease/granter-types.js';
import type { MonotonicMillis } from '../model/identifiers.js';
import type { Registry } from '../registry/types.js';
import type { ConnectedRouter } from './router-desk.js';
import { keyedServices } from './service-shards.js';
import type { OperatorResponse, UpstreamHealth } from './types.js';

export interface ControlStatusSource {
  readonly raft: RaftStatus;
  readonly registry: Registry;
  /** Empty on members that don't lead. */
  readonly sessions: readonly SessionView[];
  readonly routers: readonly ConnectedRouter[];
}

export function controlStatus(source: ControlStatusSource, now: MonotonicMillis): OperatorResponse {
  const { raft, registry, sessions, routers } = source;
  const current = keyedServices(registry).flatMap((shards) => shards.current);
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
    unownedShards: current.filter(({ owner }) => owner === null).length,
    movingShards: current.filter(({ owner, movingTo }) => owner !== null && movingTo !== null).length,
  };
}

function healthOf(view: SessionView, registry: Registry, now: MonotonicMillis): UpstreamHealth {
  const owned = [...registry.shards().values()].filter(({ owner }) => owner === view.upstream);
  return {
    upstream: view.upstream,
    state: view.failing ? 'unreachable' : view.phase,
    silentMillis: view.answeredAt === null ? null : now - view.answeredAt,
    shards: owned.length,
    draining: view.answer?.draining.length ?? 0,
  };
}
