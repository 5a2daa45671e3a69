/** Index of one service's ranges by owner, rebuilt once per registry list instead of per query. */
import type { UpstreamId } from '../../model/identifiers.js';
import type { KeyRange } from '../../model/key-range.js';

const NO_RANGES: readonly KeyRange[] = [];

export class RangeIndex {
  readonly #ranges: () => readonly KeyRange[];
  /** The indexed list; the registry replaces its lists and never mutates them. */
  #indexed: readonly KeyRange[] = NO_RANGES;
  #owned = new Map<UpstreamId, KeyRange[]>();

  constructor(ranges: () => readonly KeyRange[]) {
    this.#ranges = ranges;
  }

  /** Returns the ranges of an owner, in order. */
  ownedBy(upstream: UpstreamId): readonly KeyRange[] {
    this.#update();
    return this.#owned.get(upstream) ?? NO_RANGES;
  }

  #update(): void {
    const ranges = this.#ranges();
    if (ranges === this.#indexed) {
      return;
    }
    this.#indexed = ranges;
    this.#owned = new Map();
    for (const range of ranges) {
      this.#add(range);
    }
  }

  #add(range: KeyRange): void {
    const { owner } = range;
    if (owner !== null) {
      const owned = this.#owned.get(owner) ?? [];
      this.#owned.set(owner, owned);
      owned.push(range);
    }
  }
}
