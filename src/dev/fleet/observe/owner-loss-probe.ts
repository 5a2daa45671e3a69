/** Measures, from a caller's side, how long the keys of a lost owner stay without an answer from a new one. */
import { setTimeout as delay } from 'node:timers/promises';
import type { ServiceName, UpstreamId } from '../../../model/identifiers.js';
import { shardOfKey } from '../../../model/key-map.js';
import { machineMillis } from '../../journal/machine-clock.js';
import { RouterClient } from '../../standins/caller/router-client.js';
import type { Fleet } from '../fleet.js';
import { keysOfService } from '../load-plan.js';

const GIVE_UP_MILLIS = 15_000;
const RETRY_MILLIS = 25;
const DEADLINE_MILLIS = 2000;
const LIMITS = { connections: 64, pipelining: 1 };
/** Keys that are asked for. More at once would be a burst of their own, and measure the queues of routers. */
const MAX_PROBED_KEYS = 150;

/** Keys of one owner as control had them before the loss. */
export interface OwnedKeys {
  readonly upstream: UpstreamId;
  readonly service: ServiceName;
  readonly keys: readonly string[];
  readonly shards: number;
}

/** How one loss went. Times in milliseconds from the loss. */
export interface OwnerLoss {
  readonly upstream: UpstreamId;
  readonly keys: number;
  /** How many of them were asked for. */
  readonly probedKeys: number;
  readonly shards: number;
  /** When the owner was lost, on the machine's clock and on the wall. */
  readonly lostAt: number;
  readonly wall: number;
  /** Times until each key was answered by another upstream; keys never answered are left out. */
  readonly millis: readonly number[];
  readonly unserved: number;
}

export class OwnerLossProbe {
  readonly #fleet: Fleet;
  readonly #routers: readonly RouterClient[];
  #requestCount = 0;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    const { plan } = fleet;
    this.#routers = plan.routers.map(
      ({ name, callers }) => new RouterClient(name, callers.advertised, plan.operatorHost, LIMITS),
    );
  }

  /** Keys of the load that `upstream` owns now. */
  async keysOf(upstream: UpstreamId): Promise<OwnedKeys> {
    const { admin, plan } = this.#fleet;
    const owned = new Set(
      (await admin.shards()).filter(({ owner }) => owner === upstream).map(({ shard }) => shard),
    );
    const service = [...owned][0]?.split('/')[0] ?? '';
    const record = (await admin.services()).find(({ definition }) => definition.name === service);
    if (record === undefined) {
      return { upstream, service, keys: [], shards: 0 };
    }
    const { definition, generation } = record;
    const keyMap = { service, generation, keyspaces: definition.keyspaces };
    const keys = keysOfService(plan.deployment, definition).filter((key) => {
      const shard = shardOfKey(keyMap, key);
      return shard !== undefined && owned.has(shard);
    });
    return { upstream, service, keys, shards: owned.size };
  }

  /** Asks for each key, or an even sample of many, until another upstream answers it. Call at the moment of the loss. */
  async watch(owned: OwnedKeys): Promise<OwnerLoss> {
    const lostAt = machineMillis();
    const wall = Date.now();
    const probed = evenSample(owned.keys, MAX_PROBED_KEYS);
    const times = await Promise.all(probed.map((key) => this.#watchKey(owned, key, lostAt)));
    const millis = times.filter((time) => time !== null);
    return {
      upstream: owned.upstream,
      keys: owned.keys.length,
      probedKeys: probed.length,
      shards: owned.shards,
      lostAt,
      wall,
      millis,
      unserved: times.length - millis.length,
    };
  }

  async close(): Promise<void> {
    await Promise.all(this.#routers.map((router) => router.close()));
  }

  async #watchKey(owned: OwnedKeys, key: string, lostAt: number): Promise<number | null> {
    while (machineMillis() - lostAt < GIVE_UP_MILLIS && !this.#fleet.signal.aborted) {
      this.#requestCount += 1;
      const router = this.#routers[this.#requestCount % this.#routers.length] as RouterClient;
      const answer = await router.send({
        service: owned.service,
        method: 'GET',
        request: `probe-${this.#requestCount}`,
        key,
        idempotencyKey: null,
        coalesced: false,
        deadlineMillis: DEADLINE_MILLIS,
        leaveMillis: null,
      });
      if (answer.verdict === 'whole' && answer.upstream !== owned.upstream) {
        return machineMillis() - lostAt;
      }
      await delay(RETRY_MILLIS);
    }
    return null;
  }
}

/** At most `count` of the items, evenly spread over them. */
export function evenSample<Item>(items: readonly Item[], count: number): Item[] {
  const step = Math.max(1, items.length / count);
  return items.filter((_, index) => Math.floor(index / step) !== Math.floor((index - 1) / step));
}
