/** What an attempt to open a connection over a path shows. */

export const PATH_OUTCOMES = {
  /** A connection was opened. */
  reached: 'reached',
  /** The upstream's address, or a device on the way to it, refused the connection. */
  refused: 'refused',
  /** Nothing came back in time. */
  silent: 'silent',
  /** The relay can't be used: it is gone, full, stopping, or has no path of its own. */
  noRelay: 'no-relay',
  /** The connection failed for a reason of this process, such as a lack of descriptors. */
  unknown: 'unknown',
} as const;

export type PathOutcome = (typeof PATH_OUTCOMES)[keyof typeof PATH_OUTCOMES];
