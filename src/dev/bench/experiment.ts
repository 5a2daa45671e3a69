/**
 * Types of the bench's experiments. Every file in `experiments/` that exports an `experiment` defines one;
 * `ternmount-dev bench NAME` runs it, prints the result as a table and writes it as text, JSON and SVG.
 */
import type { Deployment } from '../../settings/deployment.js';

/** Inputs of one bench invocation. */
export interface ExperimentContext {
  /** The installation that defines sizes, network delays and load. */
  readonly deployment: Deployment;
  /** Each arm runs once for each seed; published figures need five or more. */
  readonly seeds: readonly number[];
  /** Reports the progress of the run to the user. */
  readonly progress: (message: string) => void;
}

/** One quantity measured by an arm. */
export interface Measure {
  readonly name: string;
  /** Unit as the table shows it: `ms`, `1/s`, `%`, `key-s`, or `` for a bare number. */
  readonly unit: string;
  /** One value for each seed, in the order of `context.seeds`. */
  readonly values: readonly number[];
}

/** Results of one variant that the experiment compares. */
export interface ArmResult {
  readonly arm: string;
  /** Set for the arms that the product's own variant is compared with. */
  readonly baseline: boolean;
  readonly measures: readonly Measure[];
}

/** A target value and whether it was reached. */
export interface TargetResult {
  /** For example `goodput of the critical class, share of that without the rush`. */
  readonly target: string;
  /** For example `>= 95 %`. */
  readonly wanted: string;
  /** The measured figure with its spread. */
  readonly reached: string;
  readonly met: boolean;
}

/** A line chart over time or over a parameter. Bar charts are generated from `arms`. */
export interface LineChart {
  readonly title: string;
  readonly xTitle: string;
  readonly yTitle: string;
  readonly points: readonly { readonly series: string; readonly x: number; readonly y: number }[];
}

/** Results of an experiment. */
export interface ExperimentResult {
  readonly arms: readonly ArmResult[];
  /** Names of the measures that the plot shows as bars, one panel each; all measures if omitted. */
  readonly plotted?: readonly string[];
  readonly charts?: readonly LineChart[];
  readonly targets: readonly TargetResult[];
  /** Notes needed to interpret the figures: sizes, assumptions, and omitted runs. */
  readonly notes: readonly string[];
}

/** One experiment of the bench. */
export interface Experiment {
  /** Name of the experiment on the command line. */
  readonly name: string;
  /** One-line description for the list of experiments. */
  readonly summary: string;
  /** Deployment in `deployments/` that is used when none is given. */
  readonly defaultDeployment: string;
  /** Runs every arm with every seed. Experiments in virtual time may return synchronously. */
  run(context: ExperimentContext): Promise<ExperimentResult> | ExperimentResult;
}
