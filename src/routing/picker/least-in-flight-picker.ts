/** Picks the upstream with the fewest requests of this router in flight; a baseline for measurements. */
import type { UpstreamState } from '../upstream/upstream-state.js';
import type { PickContext, Picker } from './picker.js';

export class LeastInFlightPicker implements Picker {
  pick(context: PickContext): UpstreamState {
    const { candidates } = context;
    const start = context.random.below(candidates.length);
    let best = candidates[start] as UpstreamState;
    for (let step = 1; step < candidates.length; step++) {
      const candidate = candidates[(start + step) % candidates.length] as UpstreamState;
      if (candidate.inFlight < best.inFlight) {
        best = candidate;
      }
    }
    return best;
  }
}
