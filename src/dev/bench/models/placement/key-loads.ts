/** The keys of a service, their current popularity, and the resulting work of each shard. */
import type { KeyMap } from '../../../../lease/types.js';
import type { ShardId } from '../../../../model/identifiers.js';
import { shardOfKey } from '../../../../model/key-map.js';
import { type RandomSource, ZipfDistribution } from '../../../virtual/random-source.js';

/** Request rate and its Zipf skew over the keys. */
export interface KeyTraffic {
  readonly requestsPerSecond: number;
  readonly skew: number;
}

export interface KeyLoadsOptions {
  readonly keyMap: KeyMap;
  readonly keys: number;
  readonly serviceMillis: number;
  readonly routers: number;
}

const MILLIS_PER_SECOND = 1000;

export class KeyLoads {
  /** Shard of each key. */
  readonly shardOfKeys: readonly ShardId[];
  readonly #options: KeyLoadsOptions;
  /** Keys in order of popularity, the most popular first. */
  readonly #order: number[];
  #traffic: KeyTraffic;
  #popularity: ZipfDistribution;

  constructor(options: KeyLoadsOptions, traffic: KeyTraffic) {
    this.#options = options;
    this.shardOfKeys = keyNames(options).map((key) => shardOfKey(options.keyMap, key) as ShardId);
    this.#order = this.shardOfKeys.map((_, key) => key);
    this.#traffic = traffic;
    this.#popularity = new ZipfDistribution(options.keys, traffic.skew);
  }

  setTraffic(traffic: KeyTraffic): void {
    this.#traffic = traffic;
    this.#popularity = new ZipfDistribution(this.#options.keys, traffic.skew);
  }

  /** Swaps the `count` most popular keys with randomly chosen less popular ones. */
  changeHotKeys(count: number, random: RandomSource): void {
    const order = this.#order;
    for (let rank = 0; rank < count; rank += 1) {
      const other = count + random.below(order.length - count);
      const previous = order[rank] as number;
      order[rank] = order[other] as number;
      order[other] = previous;
    }
  }

  /** Draws the key of one request. */
  draw(random: RandomSource): number {
    return this.#order[this.#popularity.draw(random)] as number;
  }

  get requestsPerSecond(): number {
    return this.#traffic.requestsPerSecond;
  }

  /** Returns the expected work of each key in ms per second; `coalesced`: reads that join a running one are free. */
  keyWork(coalesced: boolean): number[] {
    const work = new Array<number>(this.#order.length).fill(0);
    this.#order.forEach((key, rank) => {
      const rate = this.#traffic.requestsPerSecond * this.#popularity.share(rank);
      work[key] = (coalesced ? this.#coalescedRate(rate) : rate) * this.#options.serviceMillis;
    });
    return work;
  }

  shardWork(keyWork: readonly number[]): Map<ShardId, number> {
    const work = new Map<ShardId, number>();
    this.shardOfKeys.forEach((shard, key) => {
      work.set(shard, (work.get(shard) ?? 0) + (keyWork[key] ?? 0));
    });
    return work;
  }

  keysOfShards(): Map<ShardId, number> {
    return this.shardWork(this.shardOfKeys.map(() => 1));
  }

  /** Returns attempts per second: a router runs at most one at a time; the next starts with the first read after it. */
  #coalescedRate(rate: number): number {
    const { routers, serviceMillis } = this.#options;
    const perRouter = rate / routers;
    return rate / (1 + (perRouter * serviceMillis) / MILLIS_PER_SECOND);
  }
}

/** Lists keys of exact keyspaces first, since operators isolate hot keys there; then keys of the first prefix. */
function keyNames({ keyMap, keys }: KeyLoadsOptions): string[] {
  const exact = keyMap.keyspaces.filter(({ kind }) => kind === 'exact').map(({ match }) => match);
  const prefix = keyMap.keyspaces.find(({ kind }) => kind === 'prefix')?.match ?? '';
  const others = Array.from({ length: keys }, (_, number) => `${prefix}key-${number}`);
  return [...exact, ...others].slice(0, keys);
}
