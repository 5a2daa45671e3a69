/** How an upstream is picked for a request that any of them can serve. */
import type { ZoneRoom } from '../../model/fleet-view.js';
import type { Zone } from '../../model/identifiers.js';
import type { Random } from '../random.js';
import type { UpstreamState } from '../upstream/upstream-state.js';

export interface PickContext {
  /** Those that may take a request now; never empty. */
  readonly candidates: readonly UpstreamState[];
  /** Zone of this router. */
  readonly zone: Zone;
  readonly now: number;
  readonly random: Random;
  /** Whoever is expected to be done within this many milliseconds is as good as anyone; `null`: the sooner the better. */
  readonly inTimeMillis: number | null;
  /** Demand of this router's zone against its room; left out: not known. */
  readonly room?: ZoneRoom | null;
  /** Factor of the service's policy on an upstream's cost; 1 for none. */
  weigh(upstream: UpstreamState): number;
}

/** Picks one of the candidates. Pickers keep only what they need between picks of one service. */
export interface Picker {
  pick(context: PickContext): UpstreamState;
}

export const PICKER_NAMES = ['least-work', 'least-in-flight', 'two-choices', 'round-robin'] as const;
export type PickerName = (typeof PICKER_NAMES)[number];
