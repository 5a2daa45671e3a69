/** Picks the better of random choices by estimated outstanding work, and prefers the own zone. */
import type { ZoneCapacity } from '../../model/fleet-view.js';
import type { UpstreamState } from '../upstream/upstream-state.js';
import { SpillCredits } from '../zones/spill-credits.js';
import { CapacityDraw } from './capacity-draw.js';
import type { PickContext, Picker } from './picker.js';

/**
 * A request goes to another zone if the cost there is lower by this factor and by the hop. It doesn't while the own zone is expected to answer in
 * time, since traffic between zones is expensive.
 */
const SPILL_FACTOR = 1.25;
const ZONE_HOP_MILLIS = 1;
/**
 * A router uses only the first upstreams of its order in the zone that have capacity, as many as it reaches about once each in this time. With few
 * requests over many upstreams it would have no current data about the speed and load of any of them.
 */
const REVISIT_MILLIS = 4000;
/** Minimum number of upstreams that a router uses: a few routers with one or two each would load them unevenly. */
const MIN_PREFERRED = 8;
/**
 * If upstreams differ in speed, the best of this many draws is picked. With two draws, a slow upstream is picked too often while a fast one is
 * free. With all upstreams drawn, routers with the same data would pick the same upstream.
 */
const DRAW_COUNT = 12;
/** If control reports enough capacity in the zone, a request leaves it beyond the plan only above this multiple of the in-time limit. */
const UNPLANNED_LATE_FACTOR = 1.2;
/** The same multiple if some requests have to leave the zone anyway. */
const PLANNED_LATE_FACTOR = 1.1;
/**
 * Share of a router's requests that may leave the zone beyond the plan, and how many in a row: a burst is over before the requests that it sent to
 * other zones are answered.
 */
const UNPLANNED_SHARE = 0.01;
const UNPLANNED_BURST = 3;
/** Multiple of the in-time limit above which any request may leave: control detects a failing zone a few seconds later than the routers do. */
const UNRESTRICTED_LATE_FACTOR = 2;

export class LeastWorkPicker implements Picker {
  /** Exponentially decayed number of picks in about the last `REVISIT_MILLIS`. */
  #recentPicks = 0;
  #lastPickAt = Number.NEGATIVE_INFINITY;
  readonly #spillCredits = new SpillCredits();
  /** Number of requests that may leave the zone beyond the plan. */
  #unplannedAllowance = UNPLANNED_BURST;

  pick(context: PickContext): UpstreamState {
    this.#countPick(context.now);
    const local = context.candidates.filter((upstream) => upstream.zone === context.zone);
    const { zoneCapacity: capacity = null } = context;
    if (capacity !== null && (capacity.isUneven || capacity.spill.length > 0)) {
      return this.#pickByCapacity(local, context, capacity);
    }
    if (local.length === 0) {
      return cheaperOfTwo(context.candidates, context).upstream;
    }
    const preferred = preferredOf(local, this.#preferredCount);
    if (local.length === context.candidates.length) {
      return cheaperOfTwo(preferred, context).upstream;
    }
    const remote = context.candidates.filter((upstream) => upstream.zone !== context.zone);
    const bestLocal = cheaperOfTwo(preferred, context);
    const bestRemote = cheaperOfTwo(remote, context);
    return this.#leavesZone(bestLocal, bestRemote, context) ? bestRemote.upstream : bestLocal.upstream;
  }

  /** Picks by demand and capacity as reported by control: the planned share of the requests leaves the zone, and few others do. */
  #pickByCapacity(
    local: readonly UpstreamState[],
    context: PickContext,
    capacity: ZoneCapacity,
  ): UpstreamState {
    const remote = context.candidates.filter((upstream) => upstream.zone !== context.zone);
    const spillZone = this.#spillCredits.nextZone(capacity.spill, context.random);
    const inSpillZone = remote.filter(({ zone }) => zone === spillZone);
    const chosen =
      inSpillZone.length > 0
        ? this.#bestOfDraws(inSpillZone, context).upstream
        : this.#pickUnplanned(local, remote, context);
    if (chosen.zone !== context.zone) {
      this.#spillCredits.sent(chosen.zone);
    }
    return chosen;
  }

  #pickUnplanned(
    local: readonly UpstreamState[],
    remote: readonly UpstreamState[],
    context: PickContext,
  ): UpstreamState {
    if (local.length === 0) {
      return this.#bestOfDraws(remote, context).upstream;
    }
    const bestLocal = this.#bestOfDraws(local, context);
    if (remote.length === 0) {
      return bestLocal.upstream;
    }
    const bestRemote = this.#bestOfDraws(remote, context);
    return this.#leavesZone(bestLocal, bestRemote, context) ? bestRemote.upstream : bestLocal.upstream;
  }

  /** Whether a request leaves the zone because of the present cost there. */
  #leavesZone(bestLocal: Choice, bestRemote: Choice, context: PickContext): boolean {
    const { zoneCapacity: capacity = null } = context;
    const inTimeMillis = context.inTimeMillis ?? 0;
    if (
      bestLocal.cost <= inTimeMillis ||
      bestLocal.cost <= bestRemote.cost * SPILL_FACTOR + ZONE_HOP_MILLIS
    ) {
      return false;
    }
    const isPlanned = this.#spillCredits.maySendAhead(bestRemote.upstream.zone);
    if (
      capacity === null ||
      (isPlanned && bestLocal.cost > inTimeMillis * PLANNED_LATE_FACTOR) ||
      bestLocal.cost > inTimeMillis * UNRESTRICTED_LATE_FACTOR
    ) {
      return true;
    }
    if (bestLocal.cost <= inTimeMillis * UNPLANNED_LATE_FACTOR || this.#unplannedAllowance < 1) {
      return false;
    }
    this.#unplannedAllowance -= 1;
    return true;
  }

  #bestOfDraws(from: readonly UpstreamState[], context: PickContext): Choice {
    const draw = new CapacityDraw(from, this.#preferredCount, context);
    let best = choiceOf(draw.next(), context);
    for (let drawn = 1; drawn < DRAW_COUNT; drawn += 1) {
      const next = choiceOf(draw.next(), context);
      best = next.cost < best.cost ? next : best;
    }
    return best;
  }

  get #preferredCount(): number {
    return Math.max(MIN_PREFERRED, Math.ceil(this.#recentPicks));
  }

  #countPick(now: number): void {
    this.#unplannedAllowance = Math.min(UNPLANNED_BURST, this.#unplannedAllowance + UNPLANNED_SHARE);
    this.#recentPicks = 1 + this.#recentPicks * Math.exp((this.#lastPickAt - now) / REVISIT_MILLIS);
    this.#lastPickAt = now;
  }
}

interface Choice {
  readonly upstream: UpstreamState;
  readonly cost: number;
}

function preferredOf(local: readonly UpstreamState[], count: number): readonly UpstreamState[] {
  if (local.length <= count) {
    return local;
  }
  const inOrder = [...local].sort((one, other) => one.affinity - other.affinity);
  return inOrder.slice(0, count);
}

function cheaperOfTwo(candidates: readonly UpstreamState[], context: PickContext): Choice {
  const firstIndex = context.random.below(candidates.length);
  const first = choiceOf(candidates[firstIndex] as UpstreamState, context);
  if (candidates.length === 1) {
    return first;
  }
  const step = 1 + context.random.below(candidates.length - 1);
  const secondIndex = (firstIndex + step) % candidates.length;
  const second = choiceOf(candidates[secondIndex] as UpstreamState, context);
  return second.cost < first.cost ? second : first;
}

function choiceOf(upstream: UpstreamState, context: PickContext): Choice {
  return { upstream, cost: upstream.cost(context.now) * context.weigh(upstream) };
}
