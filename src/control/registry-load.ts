/** What a coordinator still has to take over from the registry. It is taken in slices, so that no step takes long. */
import type { ShardId, UpstreamId } from '../model/identifiers.js';

/** Shards that are taken over, first granted or looked at anew in one run. */
export const SHARDS_PER_RUN = 2000;

/** An upstream with all of its shards, or a shard by itself. */
export type LoadItem =
  | { readonly type: 'upstream'; readonly upstream: UpstreamId }
  | { readonly type: 'shard'; readonly shard: ShardId };

export class RegistryLoad {
  readonly #upstreams: readonly UpstreamId[];
  readonly #shards: readonly ShardId[];
  #position = 0;

  constructor(upstreams: readonly UpstreamId[], shards: readonly ShardId[]) {
    this.#upstreams = upstreams;
    this.#shards = shards;
  }

  get isDone(): boolean {
    return this.#position === this.#upstreams.length + this.#shards.length;
  }

  /** The next thing to take over; `undefined` if nothing is left. */
  next(): LoadItem | undefined {
    const upstream = this.#upstreams[this.#position];
    const shard = this.#shards[this.#position - this.#upstreams.length];
    this.#position += Number(!this.isDone);
    if (upstream !== undefined) {
      return { type: 'upstream', upstream };
    }
    return shard === undefined ? undefined : { type: 'shard', shard };
  }

  /** Upstreams that weren't taken over yet. */
  upstreamsLeft(): readonly UpstreamId[] {
    return this.#upstreams.slice(this.#position);
  }
}
