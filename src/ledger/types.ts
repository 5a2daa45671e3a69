/** The replicated ledger that makes a non-repeatable request run at most once. */
import type { Revision, ServiceName, WallMillis } from '../model/identifiers.js';

/** Names one request of one run of a router: `router/incarnation/number`. */
export type ClaimantId = string;

/** An answer kept for resends. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Base64. Bodies above the ledger's limit aren't kept; then `truncated` is set and the body is empty. */
  readonly body: string;
  readonly truncated: boolean;
}

/** What the ledger knows of one idempotency key. */
export interface LedgerRecord {
  readonly service: ServiceName;
  readonly key: string;
  /** SHA-256 over method, path and body, hex: the same key with another request is refused. */
  readonly fingerprint: string;
  readonly claimant: ClaimantId;
  readonly state: 'running' | 'ran' | 'unknown';
  readonly answer: StoredAnswer | null;
  readonly claimedAt: WallMillis;
  readonly revision: Revision;
}

/** Claims a key for one run of a request. */
export interface ClaimCommand {
  readonly type: 'ledger-claim';
  readonly service: ServiceName;
  readonly key: string;
  readonly fingerprint: string;
  readonly claimant: ClaimantId;
  /** When the caller made the key; beyond the service's retention the claim is refused. */
  readonly issuedAt: WallMillis;
}

/** Says how a claimed request ended. */
export interface SettleCommand {
  readonly type: 'ledger-settle';
  readonly service: ServiceName;
  readonly key: string;
  readonly claimant: ClaimantId;
  /** `not-run` releases the claim: the attempt was proved not to have run. */
  readonly outcome: 'ran' | 'not-run' | 'unknown';
  readonly answer: StoredAnswer | null;
}

/** Whether the claimant may run the request. */
export type ClaimResult =
  /** Only this claimant may run it. */
  | { readonly type: 'granted' }
  /** Another attempt has the key. */
  | { readonly type: 'duplicate'; readonly record: LedgerRecord }
  | { readonly type: 'mismatch' }
  /** `issuedAt` is out of the accepted window, too old or too far ahead; the key isn't known and doesn't run. */
  | { readonly type: 'expired' }
  /** This claimant's claim was released or settled before; it must not run. */
  | { readonly type: 'closed' }
  | { readonly type: 'unknown-service' };

/** What became of a `SettleCommand`. */
export type SettleResult =
  | { readonly type: 'settled' }
  /** The claim had ended otherwise; nothing changed. */
  | { readonly type: 'conflict'; readonly record: LedgerRecord }
  /** This claimant holds no claim on the key, and gets none from now on. */
  | { readonly type: 'no-claim' };
