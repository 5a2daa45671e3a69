/** The configuration that the simulated routers of one process share: the latest that any of them received. */
import type { Revision, ShardId, UpstreamId } from '../../model/identifiers.js';
import type { RegistryChange, RoutingDelta, RoutingSnapshot } from '../../registry/types.js';

export class SharedConfiguration {
  revision: Revision = 0;
  /** Owner of each shard. */
  readonly owners = new Map<ShardId, UpstreamId | null>();
  readonly upstreams = new Set<UpstreamId>();
  private names: readonly ShardId[] | null = null;

  /** Names of all shards; the same array until a shard is added. */
  get shards(): readonly ShardId[] {
    this.names ??= [...this.owners.keys()];
    return this.names;
  }

  applySnapshot(snapshot: RoutingSnapshot): void {
    if (snapshot.revision <= this.revision) {
      return;
    }
    this.revision = snapshot.revision;
    this.owners.clear();
    this.names = null;
    this.upstreams.clear();
    for (const { definition } of snapshot.upstreams) {
      this.upstreams.add(definition.id);
    }
    for (const { shard, owner } of snapshot.shards) {
      this.owners.set(shard, owner);
    }
  }

  applyDelta(delta: RoutingDelta): void {
    if (delta.to <= this.revision || delta.from > this.revision) {
      return;
    }
    this.revision = delta.to;
    for (const change of delta.changes) {
      this.apply(change);
    }
  }

  private apply(change: RegistryChange): void {
    if (change.type === 'shard') {
      this.names = this.owners.has(change.shard) ? this.names : null;
      this.owners.set(change.shard, change.record?.owner ?? null);
    } else if (change.type === 'upstream') {
      this.upstreams.add(change.id);
    }
  }
}
