/** Periodically reads the owner of each shard. */
import { setTimeout as delay } from 'node:timers/promises';
import type { ShardId, UpstreamId } from '../../../model/identifiers.js';
import { machineMillis } from '../../journal/machine-clock.js';
import type { AdminClient } from '../admin-client.js';

const INTERVAL_MILLIS = 500;

/** Owners of the shards at one time; omits shards without an owner. */
export interface OwnershipSample {
  readonly at: number;
  readonly shards: number;
  readonly owners: ReadonlyMap<ShardId, UpstreamId>;
}

export class OwnershipSampler {
  readonly samples: OwnershipSample[] = [];
  readonly #admin: AdminClient;
  #stopped = false;
  #running: Promise<void> | undefined;

  constructor(admin: AdminClient) {
    this.#admin = admin;
  }

  start(): void {
    this.#running = this.#run();
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#running;
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      await this.#sample().catch(() => {});
      await delay(INTERVAL_MILLIS);
    }
  }

  async #sample(): Promise<void> {
    const shards = await this.#admin.shards();
    const owned = shards.flatMap(({ shard, owner }): (readonly [ShardId, UpstreamId])[] =>
      owner === null ? [] : [[shard, owner]],
    );
    this.samples.push({ at: machineMillis(), shards: shards.length, owners: new Map(owned) });
  }
}

/** Counts how often the owner of a shard differs from its last known owner. */
export function countOwnerChanges(samples: readonly OwnershipSample[]): number {
  const last = new Map<ShardId, UpstreamId>();
  let changes = 0;
  for (const { owners } of samples) {
    for (const [shard, owner] of owners) {
      const before = last.get(shard);
      if (before !== undefined && before !== owner) {
        changes += 1;
      }
      last.set(shard, owner);
    }
  }
  return changes;
}
