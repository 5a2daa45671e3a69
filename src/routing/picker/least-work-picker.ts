/** Two random choices by estimated outstanding work, the own zone first. */
import type { UpstreamState } from '../upstream/upstream-state.js';
import type { PickContext, Picker } from './picker.js';

/**
 * Work in another zone is chosen when it is cheaper than the own zone's by this factor, and by the hop; not while the own zone
 * is in time, since bytes between zones are dear.
 */
const SPILL_FACTOR = 1.25;
const ZONE_HOP_MILLIS = 1;
/**
 * A router keeps to so many upstreams of its zone, the first of its order that have room, that it meets each about once in this
 * time: at 2 requests a second it would meet each of 30 once in 15 s, and know neither how fast nor how busy any of them is.
 */
const MEETING_MILLIS = 4000;
/** It keeps to no fewer than this: a few routers that kept to one or two would load them unevenly. */
const LEAST_PREFERRED = 8;

export class LeastWorkPicker implements Picker {
  /** Picks of about the last `MEETING_MILLIS`, older ones counting for less. */
  #recentPicks = 0;
  #pickedAt = Number.NEGATIVE_INFINITY;

  pick(context: PickContext): UpstreamState {
    this.#countPick(context.now);
    const local = context.candidates.filter((upstream) => upstream.zone === context.zone);
    if (local.length === 0) {
      return cheaperOfTwo(context.candidates, context).upstream;
    }
    const preferred = preferredOf(local, Math.max(LEAST_PREFERRED, Math.ceil(this.#recentPicks)));
    if (local.length === context.candidates.length) {
      return cheaperOfTwo(preferred, context).upstream;
    }
    const remote = context.candidates.filter((upstream) => upstream.zone !== context.zone);
    const near = cheaperOfTwo(preferred, context);
    const far = cheaperOfTwo(remote, context);
    const isInTime = near.cost <= (context.inTimeMillis ?? 0);
    const spills = !isInTime && near.cost > far.cost * SPILL_FACTOR + ZONE_HOP_MILLIS;
    return spills ? far.upstream : near.upstream;
  }

  #countPick(now: number): void {
    this.#recentPicks = 1 + this.#recentPicks * Math.exp((this.#pickedAt - now) / MEETING_MILLIS);
    this.#pickedAt = now;
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
