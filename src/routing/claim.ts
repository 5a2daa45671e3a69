/** A claim on the ledger for one non-repeatable request. */
import type { ClaimantId, StoredAnswer } from '../ledger/types.js';
import type { Address, ServiceName, WallMillis } from '../model/identifiers.js';
import type { RequestGroup } from './request-group.js';
import type { RouterTimer } from './router-timer.js';

export interface Settlement {
  readonly outcome: 'ran' | 'not-run' | 'unknown';
  readonly answer: StoredAnswer | null;
}

export interface Claim {
  readonly claimant: ClaimantId;
  readonly service: ServiceName;
  readonly key: string;
  readonly fingerprint: string;
  readonly issuedAt: WallMillis;
  /** The request group that waits for the claim; only read while `state` is `asked`. */
  readonly group: RequestGroup;
  readonly startedAt: number;
  /**
   * `asked`: no answer yet. `granted`: the group may be dispatched. `settling`: the group is never dispatched again.
   * `lingering`: the settlement is acknowledged, but a grant may still arrive.
   */
  state: 'asked' | 'granted' | 'settling' | 'lingering';
  wasGranted: boolean;
  /** Set on the transition to `settling`. */
  settlement: Settlement | null;
  settlingSince: number;
  /** The member that the latest message was sent to. */
  target: Address | null;
  /** Redirects to the leader followed since the last timed resend. */
  redirects: number;
  resends: number;
  timer: RouterTimer | null;
}
