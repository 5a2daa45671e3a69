/**
 * Draws upstreams by what they can do: each has its part of the requests where nobody knows how busy any of them is, however many routers
 * decide alike.
 */
import type { UpstreamState } from '../upstream/upstream-state.js';
import type { PickContext } from './picker.js';

/** Values of an upstream's affinity. */
const HASHES = 2 ** 32;

interface Drawn {
  readonly upstream: UpstreamState;
  readonly weight: number;
}

/** What an upstream can do, in slots of speed 1. */
function capacityOf(upstream: UpstreamState, now: number): number {
  return upstream.slotLimit.most * (upstream.fleetSpeed(now) ?? 1);
}

export class CapacityDraw {
  readonly #drawn: readonly Drawn[];
  readonly #weight: number;

  /**
   * Keeps to `most` of the upstreams, by an order of the router's own in which large ones come first more often. What is in the orders of
   * more routers is drawn less often by each.
   */
  constructor(
    from: readonly UpstreamState[],
    most: number,
    private readonly context: PickContext,
  ) {
    const { now } = context;
    const placed = from.map((upstream) => {
      const capacity = capacityOf(upstream, now);
      // Of the least of such places, each upstream has the first with a probability in proportion to its capacity.
      const place = -Math.log1p(-upstream.affinity / HASHES) / capacity;
      return { upstream, capacity, place };
    });
    const isAll = placed.length <= most;
    const inOrder = isAll ? placed : placed.sort((one, other) => one.place - other.place);
    const end = isAll ? Number.POSITIVE_INFINITY : (inOrder[most]?.place ?? Number.POSITIVE_INFINITY);
    this.#drawn = inOrder.slice(0, most).map(({ upstream, capacity }) => ({
      upstream,
      weight: capacity / -Math.expm1(-capacity * end),
    }));
    this.#weight = this.#drawn.reduce((sum, { weight }) => sum + weight, 0);
  }

  next(): UpstreamState {
    let left = this.context.random.share() * this.#weight;
    for (const { upstream, weight } of this.#drawn) {
      left -= weight;
      if (left < 0) {
        return upstream;
      }
    }
    return (this.#drawn.at(-1) as Drawn).upstream;
  }
}
