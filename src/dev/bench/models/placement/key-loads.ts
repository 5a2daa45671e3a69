/** Keys of a service, how popular each is at a time, and the work that follows for each shard. */
import type { KeyMap } from '../../../../lease/types.js';
import type { ShardId } from '../../../../model/identifiers.js';
import { shardOfKey } from '../../../../model/key-map.js';
import { type RandomSource, ZipfDistribution } from '../../../virtual/random-source.js';

/** Requests a second and how they spread over the keys. */
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
  /** Keys, the most popular first. */
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

  /** Gives the places of the first `count` keys to others, which take theirs. */
  changeHotKeys(count: number, random: RandomSource): void {
    const order = this.#order;
    for (let rank = 0; rank < count; rank += 1) {
      const other = count + random.below(order.length - count);
      const kept = order[rank] as number;
      order[rank] = order[other] as number;
      order[other] = kept;
    }
  }

  /** A key as one request names it. */
  draw(random: RandomSource): number {
    return this.#order[this.#popularity.draw(random)] as number;
  }

  get requestsPerSecond(): number {
    return this.#traffic.requestsPerSecond;
  }

  /** Expected work of each key, in milliseconds a second; `coalesced`: reads that join one under way cost nothing. */
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

  /** Attempts a second: each router has one under way at most, and the next begins with the first read after it. */
  #coalescedRate(rate: number): number {
    const { routers, serviceMillis } = this.#options;
    const perRouter = rate / routers;
    return rate / (1 + (perRouter * serviceMillis) / MILLIS_PER_SECOND);
  }
}

/** Keys of exact keyspaces first, since those are the ones that operators isolate; then keys of the first prefix. */
function keyNames({ keyMap, keys }: KeyLoadsOptions): string[] {
  const exact = keyMap.keyspaces.filter(({ kind }) => kind === 'exact').map(({ match }) => match);
  const prefix = keyMap.keyspaces.find(({ kind }) => kind === 'prefix')?.match ?? '';
  const others = Array.from({ length: keys }, (_, number) => `${prefix}key-${number}`);
  return [...exact, ...others].slice(0, keys);
}
