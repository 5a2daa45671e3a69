/** What a fault of a simulation is. */
import type { Random } from '../random.js';
import type { Simulation } from '../simulation.js';

/** Ends a fault. */
export type Heal = () => void;

export interface FaultKind {
  readonly name: string;
  /** Shortest and longest time until it is healed, in milliseconds. */
  readonly lasts: readonly [number, number];
  /** Begins the fault; `null` if there is nothing that it could hit now. */
  inject(simulation: Simulation, random: Random): InjectedFault | null;
}

export interface InjectedFault {
  /** What was hit, for the trace. */
  readonly detail: string;
  readonly heal: Heal;
}
