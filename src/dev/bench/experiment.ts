/**
 * What the bench runs. Every file of `experiments/` that exports an `experiment` is one; `ternmount-dev bench NAME`
 * finds it by its name, prints the result as a table and writes it as JSON and SVG.
 */
import type { Deployment } from '../../settings/deployment.js';

/** What one call of the bench asked for. */
export interface ExperimentContext {
  /** The installation that sizes, network times and load come from. */
  readonly deployment: Deployment;
  /** One run of each arm for each seed; five or more for figures that are published. */
  readonly seeds: readonly number[];
  /** Tells the person who waits how far the run is. */
  readonly progress: (message: string) => void;
}

/** One quantity that an arm measured. */
export interface Measure {
  readonly name: string;
  /** Unit as the table shows it: `ms`, `1/s`, `%`, `key-s`, or `` for a bare number. */
  readonly unit: string;
  /** One value for each seed, in the order of `context.seeds`. */
  readonly values: readonly number[];
}

/** One way of doing the thing that the experiment compares. */
export interface ArmResult {
  readonly arm: string;
  /** Set for the arms that ours is compared with. */
  readonly baseline: boolean;
  readonly measures: readonly Measure[];
}

/** A number that was to be reached, and whether it was. */
export interface TargetResult {
  /** For example `goodput of the critical class, share of that without the rush`. */
  readonly target: string;
  /** For example `>= 95 %`. */
  readonly wanted: string;
  /** The measured figure with its spread. */
  readonly reached: string;
  readonly met: boolean;
}

/** A line chart over time or over a parameter. Charts of plain bars are made from `arms` by themselves. */
export interface LineChart {
  readonly title: string;
  readonly xTitle: string;
  readonly yTitle: string;
  readonly points: readonly { readonly series: string; readonly x: number; readonly y: number }[];
}

/** What an experiment found. */
export interface ExperimentResult {
  readonly arms: readonly ArmResult[];
  /** Names of measures that the plot shows as bars, one panel each; all if left out. */
  readonly plotted?: readonly string[];
  readonly charts?: readonly LineChart[];
  readonly targets: readonly TargetResult[];
  /** What a reader of the figures has to know: sizes, assumptions, what was not run. */
  readonly notes: readonly string[];
}

/** One experiment of the bench. */
export interface Experiment {
  /** As given on the command line. */
  readonly name: string;
  /** One line for the list of experiments. */
  readonly summary: string;
  /** Name of the deployment used when none is given, a file of `deployments/`. */
  readonly defaultDeployment: string;
  /** Runs every arm with every seed. Experiments in virtual time may answer at once. */
  run(context: ExperimentContext): Promise<ExperimentResult> | ExperimentResult;
}
