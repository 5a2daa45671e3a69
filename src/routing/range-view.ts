/** A router's view of the owners of numeric key ranges. The rest of the core treats each range as a shard. */
import { formatShardId, type ServiceName, type ShardId } from '../model/identifiers.js';
import { findRange, type KeyRange, parseNumericKey, RANGE_KEYSPACE } from '../model/key-range.js';
import type { ShardRecord } from '../registry/types.js';

/** Keys are never remapped to other ranges by a new generation, so there is one generation. */
const GENERATION = 0;

/** Shard id of the range that begins at `from`. */
export function rangeShardId(service: ServiceName, from: number): ShardId {
  return formatShardId({ service, keyspace: RANGE_KEYSPACE, generation: GENERATION, number: from });
}

export class RangeView {
  readonly #byStart = new Map<ServiceName, Map<number, KeyRange>>();
  /** Ranges sorted by first key; rebuilt by `commit`. */
  readonly #sorted = new Map<ServiceName, readonly KeyRange[]>();
  readonly #shards = new Map<ShardId, ShardRecord>();
  readonly #changed = new Set<ServiceName>();

  /** Whether the service has numeric keys. */
  has(service: ServiceName): boolean {
    return this.#sorted.has(service);
  }

  list(): KeyRange[] {
    return [...this.#sorted.values()].flat();
  }

  /** Sets the range that begins at `from`, or removes it. Key lookups see the change after `commit`. */
  put(service: ServiceName, from: number, range: KeyRange | null): void {
    const ranges = this.#byStart.get(service) ?? new Map<number, KeyRange>();
    this.#byStart.set(service, ranges);
    this.#changed.add(service);
    const shard = rangeShardId(service, from);
    if (range === null) {
      ranges.delete(from);
      this.#shards.delete(shard);
    } else {
      ranges.set(from, range);
      this.#shards.set(shard, recordOf(shard, range));
    }
  }

  /** Makes the changes since the last commit visible to key lookups. */
  commit(): void {
    for (const service of this.#changed) {
      const ranges = [...(this.#byStart.get(service)?.values() ?? [])];
      if (ranges.length === 0) {
        this.#byStart.delete(service);
        this.#sorted.delete(service);
      } else {
        this.#sorted.set(
          service,
          ranges.sort((one, other) => one.from - other.from),
        );
      }
    }
    this.#changed.clear();
  }

  shard(shard: ShardId): ShardRecord | undefined {
    return this.#shards.get(shard);
  }

  /** Returns the range of a key; `undefined` if the key isn't a number in any range. */
  shardOfKey(service: ServiceName, text: string): ShardId | undefined {
    const key = parseNumericKey(text);
    const ranges = this.#sorted.get(service) ?? [];
    const range = key === undefined ? undefined : ranges[findRange(ranges, key)];
    return range === undefined ? undefined : rangeShardId(service, range.from);
  }
}

function recordOf(shard: ShardId, { owner, fence, revision }: KeyRange): ShardRecord {
  return { shard, owner, incarnation: owner, epoch: fence, movingTo: null, revision };
}
