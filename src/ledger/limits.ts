/** Limits of the ledger. They are part of the replicated state machine: every replica must use the same values. */

/** How far ahead of the ledger's clock a key's `issuedAt` may lie, for clients whose clocks are ahead. */
export const ISSUED_AHEAD_MILLIS = 60_000;

/** Maximum length of a stored body, in characters of base64. Longer ones are removed and marked `truncated`. */
export const STORED_BODY_LIMIT = 16 * 1024;

/** Maximum records and tombstones of one service; above it, the oldest keys are rejected before their retention ends. */
export const ENTRIES_PER_SERVICE = 200_000;

/** Maximum length of a key and of a claimant, in characters. */
export const IDENTIFIER_LIMIT = 512;

/**
 * Maximum characters of all stored bodies of one service. Above it, the bodies of the answers settled longest ago are
 * removed and marked `truncated`; their records stay `ran`. Limits the memory and the snapshots of a member.
 */
export const STORED_BODIES_PER_SERVICE = 64 * 1024 * 1024;
