/** Interface of the algorithms that pick an upstream for a request which any upstream of the service can serve. */
import type { ZoneCapacity } from '../../model/fleet-view.js';
import type { Zone } from '../../model/identifiers.js';
import type { Random } from '../random.js';
import type { UpstreamState } from '../upstream/upstream-state.js';

export interface PickContext {
  /** Upstreams that can accept a request now; never empty. */
  readonly candidates: readonly UpstreamState[];
  /** Zone of this router. */
  readonly zone: Zone;
  readonly now: number;
  readonly random: Random;
  /** Upstreams that are expected to answer within this many milliseconds count as equally good; `null`: faster is always better. */
  readonly inTimeMillis: number | null;
  /** Demand and capacity of this router's zone; left out or `null` if unknown. */
  readonly zoneCapacity?: ZoneCapacity | null;
  /** Returns the factor of the service's policy on an upstream's cost; 1 without a policy. */
  weigh(upstream: UpstreamState): number;
}

/** Picks one of the candidates. A picker belongs to one service and keeps state between its picks. */
export interface Picker {
  pick(context: PickContext): UpstreamState;
}

export const PICKER_NAMES = ['least-work', 'least-in-flight', 'two-choices', 'round-robin'] as const;
export type PickerName = (typeof PICKER_NAMES)[number];
