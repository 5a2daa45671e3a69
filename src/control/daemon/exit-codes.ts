/** Exit codes of the control daemon's process, for what supervises it. */

export const EXIT_CODES = {
  stopped: 0,
  failed: 1,
  /** The files of the replica are damaged: this replica is lost; a new one must join in its place. */
  storageDamaged: 70,
  /** The data folder was never set up by `control init` or `control join`. */
  notInitialised: 71,
  /** Another process holds the data folder. */
  folderLocked: 72,
} as const;
