/** Measures as a caller how long the keys of a lost owner get no answer from a new owner. */
import { setTimeout as delay } from 'node:timers/promises';
import type { ServiceName, UpstreamId } from '../../../model/identifiers.js';
import { shardOfKey } from '../../../model/key-map.js';
import { machineMillis } from '../../journal/machine-clock.js';
import { RouterClient } from '../../standins/caller/router-client.js';
import type { Fleet } from '../fleet.js';
import { keysOfService } from '../load-plan.js';

const PROBE_TIMEOUT_MILLIS = 15_000;
const RETRY_MILLIS = 25;
const DEADLINE_MILLIS = 2000;
const LIMITS = { connections: 64, pipelining: 1 };
/** Maximum number of probed keys. More would be a burst of requests and measure the routers' queues instead. */
const MAX_PROBED_KEYS = 150;

/** Keys of one owner before the loss, according to control. */
export interface OwnedKeys {
  readonly upstream: UpstreamId;
  readonly service: ServiceName;
  readonly keys: readonly string[];
  readonly shards: number;
}

/** Measurements of one loss. Durations are in milliseconds since the loss. */
export interface OwnerLoss {
  readonly upstream: UpstreamId;
  readonly keys: number;
  /** Number of keys that were probed. */
  readonly probedKeys: number;
  readonly shards: number;
  /** Time of the loss, on the machine's clock and on the wall clock. */
  readonly lostAt: number;
  readonly wall: number;
  /** Time until another upstream answered each key; omits keys that were never answered. */
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
      ({ name, callers }) =>
        new RouterClient({
          name,
          address: callers.advertised,
          localAddress: plan.operatorHost,
          form: 'by-service',
          ...LIMITS,
        }),
    );
  }

  /** Returns the keys of the load that `upstream` owns now. */
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

  /** Requests each key, or an even sample of many, until another upstream answers. Call it at the time of the loss. */
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
    while (machineMillis() - lostAt < PROBE_TIMEOUT_MILLIS && !this.#fleet.signal.aborted) {
      this.#requestCount += 1;
      const request = `probe-${this.#requestCount}`;
      const router = this.#routers[this.#requestCount % this.#routers.length] as RouterClient;
      const answer = await router.send({
        service: owned.service,
        method: 'GET',
        request,
        id: request,
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

/** Returns at most `count` of the items, evenly spaced. */
export function evenSample<Item>(items: readonly Item[], count: number): Item[] {
  const step = Math.max(1, items.length / count);
  return items.filter((_, index) => Math.floor(index / step) !== Math.floor((index - 1) / step));
}
