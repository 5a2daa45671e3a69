/** Exit codes of `ternmount`; docs/operators/exit-codes.md explains them. */

/** Exit statuses by their names. */
export const EXIT_CODES = {
  ok: 0,
  /** Something failed which none of the others names, or the thing asked for isn't there. */
  failed: 1,
  /** Wrong command line, settings or declarations. Nothing was touched. */
  usage: 2,
  /** Someone else changed it first. Nothing was changed. */
  conflict: 3,
  /** No control member could be reached, or the outcome of a change isn't known. */
  unreachable: 4,
  /** The token isn't known or may not do this, or control refused. Nothing was changed. */
  refused: 5,
  /** Files of the data folder are damaged or missing: the replica is lost, a new one must take its place. */
  replicaLost: 6,
} as const;

/** One of the exit statuses. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
