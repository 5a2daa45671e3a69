/** Models how long the keys of a shard are unavailable during an owner change, from network and log delays. */
import { DEFAULT_LEASE_TIMINGS, longestLeaseMillis } from '../../../../lease/index.js';

/** Whether the new owner loads the shard's state before or after the previous owner stops serving it. */
export type Handover = 'warmed' | 'revoke-then-grant';

export interface MoveTimes {
  /** Time in which the target loads the state while the source still serves. */
  readonly warmMillis: number;
  /** Unowned period of the shard. */
  readonly gapMillis: number;
}

export interface MoveModelOptions {
  readonly betweenZonesMillis: number;
  /** Mean time of one request: the source finishes its running requests before the move. */
  readonly serviceMillis: number;
  /** Time to load the state of one shard. */
  readonly shardLoadMillis: number;
}

/** Duration of one synced write to a control member's disk. */
const SYNC_MILLIS = 0.2;

/** Numbers of sequential messages, all between zones: a commit takes one in each direction. */
const REVOKE_MESSAGES = 2;
const COMMIT_MESSAGES = 2;
/** Change notice to the router, its sync request, the quorum round and the response. The grant arrives meanwhile. */
const PUBLICATION_MESSAGES = 5;

export class MoveModel {
  readonly #options: MoveModelOptions;

  constructor(options: MoveModelOptions) {
    this.#options = options;
  }

  /** Returns the times of a planned move. */
  plannedMove(handover: Handover): MoveTimes {
    const { serviceMillis, shardLoadMillis, betweenZonesMillis } = this.#options;
    const messages = REVOKE_MESSAGES + COMMIT_MESSAGES + PUBLICATION_MESSAGES;
    const gapMillis = serviceMillis + messages * betweenZonesMillis + SYNC_MILLIS;
    return handover === 'warmed'
      ? { warmMillis: shardLoadMillis, gapMillis }
      : { warmMillis: 0, gapMillis: gapMillis + shardLoadMillis };
  }

  /** Returns the maximum time from the loss of a server to the end of its lease on the leader's clock. */
  leaseMillis(): number {
    return longestLeaseMillis(DEFAULT_LEASE_TIMINGS);
  }

  /** Returns the time from the end of a lease until a new owner serves: two commits (session end, grant), then loading. */
  grantMillis(): number {
    const { shardLoadMillis, betweenZonesMillis } = this.#options;
    const messages = 2 * COMMIT_MESSAGES + PUBLICATION_MESSAGES;
    return messages * betweenZonesMillis + 2 * SYNC_MILLIS + shardLoadMillis;
  }
}
