/** The part of the registry that a coordinator still has to read at its start. It reads in slices, so that no step takes long. */
import type { ShardId, UpstreamId } from '../model/identifiers.js';

/** Maximum number of shards that one run reads from the registry, grants for the first time or checks again. */
export const SHARDS_PER_RUN = 2000;

/** An upstream with all of its shards, or a single shard. */
export type ScanItem =
  | { readonly type: 'upstream'; readonly upstream: UpstreamId }
  | { readonly type: 'shard'; readonly shard: ShardId };

export class RegistryScan {
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

  /** Returns the next item to read; `undefined` if nothing is left. */
  next(): ScanItem | undefined {
    const upstream = this.#upstreams[this.#position];
    const shard = this.#shards[this.#position - this.#upstreams.length];
    this.#position += Number(!this.isDone);
    if (upstream !== undefined) {
      return { type: 'upstream', upstream };
    }
    return shard === undefined ? undefined : { type: 'shard', shard };
  }

  /** Returns the upstreams that haven't been read yet. */
  remainingUpstreams(): readonly UpstreamId[] {
    return this.#upstreams.slice(this.#position);
  }
}
