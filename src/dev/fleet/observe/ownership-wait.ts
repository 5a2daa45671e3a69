/** Waits until each shard has an owner. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Fleet } from '../fleet.js';

const POLL_MILLIS = 100;

export class OwnershipWait {
  readonly #fleet: Fleet;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  async everyShardOwned(): Promise<void> {
    while (!(await this.#isOwned())) {
      await delay(POLL_MILLIS, undefined, { signal: this.#fleet.signal });
    }
  }

  async #isOwned(): Promise<boolean> {
    const shards = await this.#fleet.admin.shards();
    return shards.length > 0 && shards.every(({ owner }) => owner !== null);
  }
}
