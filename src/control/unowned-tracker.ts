/** Tracks since when each service has had shards without an owner, as observed by this member. */
import type { MonotonicMillis, ServiceName } from '../model/identifiers.js';
import type { Registry } from '../registry/types.js';

/** The unowned shards of a service. */
export interface UnownedShards {
  readonly service: ServiceName;
  readonly shards: number;
  /** How long at least one shard has been unowned. */
  readonly sinceMillis: number;
}

export class UnownedTracker {
  readonly #since = new Map<ServiceName, MonotonicMillis>();

  /** To be called after each change of the registry. */
  update(registry: Registry, now: MonotonicMillis): void {
    for (const service of this.#since.keys()) {
      if (!registry.services().has(service)) {
        this.#since.delete(service);
      }
    }
    for (const { definition } of registry.services().values()) {
      const { name, keyed } = definition;
      if (!keyed || registry.unownedShards(name).size === 0) {
        this.#since.delete(name);
      } else if (!this.#since.has(name)) {
        this.#since.set(name, now);
      }
    }
  }

  list(registry: Registry, now: MonotonicMillis): readonly UnownedShards[] {
    return [...this.#since].map(([service, since]) => ({
      service,
      shards: registry.unownedShards(service).size,
      sinceMillis: now - since,
    }));
  }
}
