/** Exit codes of `ternmount`; docs/operators/exit-codes.md explains them. */

/** Exit codes by name. */
export const EXIT_CODES = {
  ok: 0,
  /** A failure without a more specific code, or the requested object doesn't exist. */
  failed: 1,
  /** Invalid command line, settings or declarations. Nothing was changed. */
  usage: 2,
  /** The revision didn't match, because of a concurrent change. Nothing was changed. */
  conflict: 3,
  /** No control member could be reached, or the outcome of a change is unknown. */
  unreachable: 4,
  /** The token is unknown or lacks permission, or control refused. Nothing was changed. */
  refused: 5,
  /** Files of the data folder are damaged or missing: the replica is lost and must be replaced. */
  replicaLost: 6,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
