/** When upstreams were last heard over their direct paths, to tell one that is slow from a router that is cut off. */
import type { MonotonicMillis } from '../../model/identifiers.js';
import type { UpstreamState } from '../upstream/upstream-state.js';

interface Heard {
  readonly upstream: UpstreamState;
  readonly at: MonotonicMillis;
}

export class DirectAnswers {
  #latest: Heard | null = null;
  /** The latest answer of any other upstream. */
  #latestOther: Heard | null = null;

  record(upstream: UpstreamState, now: MonotonicMillis): void {
    if (this.#latest !== null && this.#latest.upstream !== upstream) {
      this.#latestOther = this.#latest;
    }
    this.#latest = { upstream, at: now };
  }

  /** Whether any upstream but the given one was heard since a time. */
  hasHeardOthers(than: UpstreamState, since: MonotonicMillis): boolean {
    const other = this.#latest?.upstream === than ? this.#latestOther : this.#latest;
    return other !== null && other.at >= since;
  }
}
