/** Types of the replicated ledger, which ensures that a non-repeatable request runs at most once. */
import type { Revision, ServiceName, WallMillis } from '../model/identifiers.js';

/** Identifies one request of one incarnation of a router: `router/incarnation/number`. */
export type ClaimantId = string;

/** An answer stored for resends. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Base64. Bodies above the limit of the ledger aren't stored: the body is empty and `truncated` is set. */
  readonly body: string;
  readonly truncated: boolean;
}

/** The record of one idempotency key. */
export interface LedgerRecord {
  readonly service: ServiceName;
  readonly key: string;
  /** SHA-256 over method, path and body, hex; the same key with another request is rejected. */
  readonly fingerprint: string;
  readonly claimant: ClaimantId;
  readonly state: 'running' | 'ran' | 'unknown';
  readonly answer: StoredAnswer | null;
  readonly claimedAt: WallMillis;
  readonly revision: Revision;
}

/** Claims a key for one execution of a request. */
export interface ClaimCommand {
  readonly type: 'ledger-claim';
  readonly service: ServiceName;
  readonly key: string;
  readonly fingerprint: string;
  readonly claimant: ClaimantId;
  /** When the client created the key; a claim older than the retention of the service is rejected. */
  readonly issuedAt: WallMillis;
}

/** Reports the outcome of a claimed request. */
export interface SettleCommand {
  readonly type: 'ledger-settle';
  readonly service: ServiceName;
  readonly key: string;
  readonly claimant: ClaimantId;
  /** `not-run` releases the claim: the attempt was proved not to have run. */
  readonly outcome: 'ran' | 'not-run' | 'unknown';
  readonly answer: StoredAnswer | null;
}

/** Result of a `ClaimCommand`. */
export type ClaimResult =
  /** This claimant, and no other, may run the request. */
  | { readonly type: 'granted' }
  /** Another claimant has the key. */
  | { readonly type: 'duplicate'; readonly record: LedgerRecord }
  | { readonly type: 'mismatch' }
  /** The key has no record and its `issuedAt` is too old or too far ahead; the request must not run. */
  | { readonly type: 'expired' }
  /** The claim of this claimant was released or settled before; the request must not run. */
  | { readonly type: 'closed' }
  | { readonly type: 'unknown-service' };

/** Result of a `SettleCommand`. */
export type SettleResult =
  | { readonly type: 'settled' }
  /** The claim was settled before with another outcome; nothing changed. */
  | { readonly type: 'conflict'; readonly record: LedgerRecord }
  /** This claimant has no claim on the key, and none is granted to it from now on. */
  | { readonly type: 'no-claim' };
