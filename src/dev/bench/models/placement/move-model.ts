/** How long the keys of a shard are unavailable when it changes its owner, from the times of the network and the log. */
import { DEFAULT_LEASE_TIMINGS, longestLeaseMillis } from '../../../../lease/index.js';

/** Whether the new owner loads the shard's state before or after the old one stops serving it. */
export type Handover = 'warmed' | 'revoke-then-grant';

export interface MoveTimes {
  /** The target loads the state while the source serves. */
  readonly warmMillis: number;
  /** Nobody serves the shard. */
  readonly gapMillis: number;
}

export interface MoveModelOptions {
  readonly betweenZonesMillis: number;
  /** Mean time of one request: what runs on the source is finished first. */
  readonly serviceMillis: number;
  /** Time to load the state of one shard. */
  readonly shardLoadMillis: number;
}

/** One synced write of a control member's disk. */
const SYNC_MILLIS = 0.2;

/** Messages one after another, all between zones: a commit is one there and one back. */
const REVOKE_MESSAGES = 2;
const COMMIT_MESSAGES = 2;
/** Notice to the router, its sync, the quorum round for that, and the answer. The grant arrives meanwhile. */
const PUBLICATION_MESSAGES = 5;

export class MoveModel {
  readonly #options: MoveModelOptions;

  constructor(options: MoveModelOptions) {
    this.#options = options;
  }

  /** A planned move. */
  planned(handover: Handover): MoveTimes {
    const { serviceMillis, shardLoadMillis, betweenZonesMillis } = this.#options;
    const messages = REVOKE_MESSAGES + COMMIT_MESSAGES + PUBLICATION_MESSAGES;
    const gapMillis = serviceMillis + messages * betweenZonesMillis + SYNC_MILLIS;
    return handover === 'warmed'
      ? { warmMillis: shardLoadMillis, gapMillis }
      : { warmMillis: 0, gapMillis: gapMillis + shardLoadMillis };
  }

  /** From the loss of a server to the end of its lease as the leader counts it, at the longest. */
  leaseMillis(): number {
    return longestLeaseMillis(DEFAULT_LEASE_TIMINGS);
  }

  /** From the end of a lease until a new owner serves: commits of the session's end and of the grant, then loading. */
  grantMillis(): number {
    const { shardLoadMillis, betweenZonesMillis } = this.#options;
    const messages = 2 * COMMIT_MESSAGES + PUBLICATION_MESSAGES;
    return messages * betweenZonesMillis + 2 * SYNC_MILLIS + shardLoadMillis;
  }
}
