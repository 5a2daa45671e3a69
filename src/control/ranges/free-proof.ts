/**
 * Reasons why an upstream can no longer hold keys, so that they may be assigned to another one. Each is logged with
 * the keys it freed.
 */
export const FREE_PROOFS = {
  /** No upstream ever held the keys. */
  neverHeld: 'never-held',
  /** The previous owner answered the release, or a later heartbeat of it reported that it does not hold the keys. */
  released: 'released',
  /** Another run answered a call that named the previous owner's run. */
  runEnded: 'run-ended',
  /** A heartbeat of a later run with the same id arrived, and that run has not been granted anything yet. */
  nextRun: 'next-run',
  /** The upstream no longer has a registry record. */
  forgotten: 'forgotten',
  /** No grant of the upstream can last this long. */
  bound: 'bound',
} as const;
export type FreeProof = (typeof FREE_PROOFS)[keyof typeof FREE_PROOFS];
