/** Types of simulated faults. */
import type { Random } from '../random.js';
import type { Simulation } from '../simulation.js';

/** Ends a fault. */
export type Heal = () => void;

export interface FaultKind {
  readonly name: string;
  /** Minimum and maximum time until the fault is healed, in milliseconds. */
  readonly durationRange: readonly [number, number];
  /** Begins the fault; returns `null` if it has no possible target now. */
  inject(simulation: Simulation, random: Random): InjectedFault | null;
}

export interface InjectedFault {
  /** The target, for the trace. */
  readonly detail: string;
  readonly heal: Heal;
}
