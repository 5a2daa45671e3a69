/**
 * Draws upstreams at random in proportion to their capacity, so that each gets its share of the requests even if nothing is known about their
 * load, however many routers decide by the same data.
 */
import type { UpstreamState } from '../upstream/upstream-state.js';
import type { PickContext } from './picker.js';

/** Number of different affinity values. */
const AFFINITY_RANGE = 2 ** 32;

interface WeightedUpstream {
  readonly upstream: UpstreamState;
  readonly weight: number;
}

/** Capacity of an upstream, in slots of speed 1. */
function capacityOf(upstream: UpstreamState, now: number): number {
  return upstream.slotLimit.totalSlots * (upstream.fleetSpeed(now) ?? 1);
}

export class CapacityDraw {
  readonly #weighted: readonly WeightedUpstream[];
  readonly #totalWeight: number;

  /**
   * Limits the draw to `count` upstreams, by an order of this router in which larger upstreams tend to come first. An upstream that is
   * among the first of more routers is drawn less often by each.
   */
  constructor(
    from: readonly UpstreamState[],
    count: number,
    private readonly context: PickContext,
  ) {
    const { now } = context;
    const placed = from.map((upstream) => {
      const capacity = capacityOf(upstream, now);
      // An exponential variate with rate `capacity`: each upstream has the lowest with a probability in proportion to its capacity.
      const place = -Math.log1p(-upstream.affinity / AFFINITY_RANGE) / capacity;
      return { upstream, capacity, place };
    });
    const isAll = placed.length <= count;
    const inOrder = isAll ? placed : placed.sort((one, other) => one.place - other.place);
    const end = isAll ? Number.POSITIVE_INFINITY : (inOrder[count]?.place ?? Number.POSITIVE_INFINITY);
    this.#weighted = inOrder.slice(0, count).map(({ upstream, capacity }) => ({
      upstream,
      weight: capacity / -Math.expm1(-capacity * end),
    }));
    this.#totalWeight = this.#weighted.reduce((sum, { weight }) => sum + weight, 0);
  }

  next(): UpstreamState {
    let remaining = this.context.random.share() * this.#totalWeight;
    for (const { upstream, weight } of this.#weighted) {
      remaining -= weight;
      if (remaining < 0) {
        return upstream;
      }
    }
    return (this.#weighted.at(-1) as WeightedUpstream).upstream;
  }
}
