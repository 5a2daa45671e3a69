/** Picks the upstreams in turn; a baseline for measurements. */
import type { UpstreamState } from '../upstream/upstream-state.js';
import type { PickContext, Picker } from './picker.js';

export class RoundRobinPicker implements Picker {
  private turn = 0;

  pick(context: PickContext): UpstreamState {
    const index = this.turn % context.candidates.length;
    this.turn += 1;
    return context.candidates[index] as UpstreamState;
  }
}
