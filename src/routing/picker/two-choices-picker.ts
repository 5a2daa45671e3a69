/** The less busy of two drawn at random, by requests of this router's own in flight; a baseline to measure against. */
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
