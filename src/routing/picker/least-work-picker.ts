/** Two random choices by estimated outstanding work, the own zone first. */
import type { UpstreamState } from '../upstream-state.js';
import type { PickContext, Picker } from './picker.js';

/**
 * Work in another zone is chosen when it is cheaper than the own zone's by this factor, and by the hop; not while the own zone
 * is in time, since bytes between zones are dear.
 */
const SPILL_FACTOR = 1.25;
const ZONE_HOP_MILLIS = 1;

export class LeastWorkPicker implements Picker {
  pick(context: PickContext): UpstreamState {
    const local = context.candidates.filter((upstream) => upstream.zone === context.zone);
    if (local.length === 0 || local.length === context.candidates.length) {
      return cheaperOfTwo(context.candidates, context).upstream;
    }
    const remote = context.candidates.filter((upstream) => upstream.zone !== context.zone);
    const near = cheaperOfTwo(local, context);
    const far = cheaperOfTwo(remote, context);
    const isInTime = near.cost <= (context.inTimeMillis ?? 0);
    const spills = !isInTime && near.cost > far.cost * SPILL_FACTOR + ZONE_HOP_MILLIS;
    return spills ? far.upstream : near.upstream;
  }
}

interface Choice {
  readonly upstream: UpstreamState;
  readonly cost: number;
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
