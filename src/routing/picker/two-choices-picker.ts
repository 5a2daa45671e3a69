/** Picks the one of two random upstreams with fewer requests of this router in flight; a baseline for measurements. */
import type { UpstreamState } from '../upstream/upstream-state.js';
import type { PickContext, Picker } from './picker.js';

export class TwoChoicesPicker implements Picker {
  pick(context: PickContext): UpstreamState {
    const { candidates, random } = context;
    const firstIndex = random.below(candidates.length);
    const first = candidates[firstIndex] as UpstreamState;
    if (candidates.length === 1) {
      return first;
    }
    const step = 1 + random.below(candidates.length - 1);
    const second = candidates[(firstIndex + step) % candidates.length] as UpstreamState;
    return second.inFlight < first.inFlight ? second : first;
  }
}
