/** Bounds of the ledger. They are part of the replicated state machine: every replica must use the same ones. */

/** How far ahead of the ledger's clock a key's `issuedAt` may lie, for callers whose clocks run fast. */
export const ISSUED_AHEAD_MILLIS = 60_000;

/** Longest body kept with an answer, in characters of base64. Longer ones are dropped and marked `truncated`. */
export const STORED_BODY_LIMIT = 16 * 1024;

/** Records and tombstones kept for one service; beyond that the oldest keys are refused before their time. */
export const ENTRIES_PER_SERVICE = 200_000;

/** Longest accepted key and claimant, in characters. */
export const IDENTIFIER_LIMIT = 512;

/**
 * Characters of all answers' bodies kept for one service. Beyond that the bodies of the answers settled longest ago are
 * dropped and marked `truncated`; that their requests ran is still known. Bounds a member's memory and its snapshots.
 */
export const STORED_BODIES_PER_SERVICE = 64 * 1024 * 1024;
