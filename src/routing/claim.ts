/** One claim on the ledger for one non-repeatable request. */
import type { ClaimantId, StoredAnswer } from '../ledger/types.js';
import type { Address, ServiceName, WallMillis } from '../model/identifiers.js';
import type { RouterTimer } from './router-timer.js';
import type { Work } from './work.js';

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
  /** The work that waits for it; only read while `state` is `asked`. */
  readonly work: Work;
  readonly startedAt: number;
  /**
   * `asked`: no answer yet. `granted`: the work may be dispatched. `settling`: it never will be from now on.
   * `lingering`: settled and acknowledged, but its grant may still be on its way.
   */
  state: 'asked' | 'granted' | 'settling' | 'lingering';
  wasGranted: boolean;
  /** Set with `settling`. */
  settlement: Settlement | null;
  settlingSince: number;
  target: Address | null;
  /** Sends that followed a pointer to the leader since the last pause. */
  redirects: number;
  resends: number;
  timer: RouterTimer | null;
}
