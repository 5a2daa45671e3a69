/** State that only a leader has: progress of the other members, confirmation rounds, waiting reads, a transfer. */
import type { ReplicaId } from '../model/identifiers.js';
import { allMembers } from './membership.js';
import { Progress } from './progress.js';
import type { Membership } from './types.js';

/** A read that was requested on this replica (`from` is `null`) or forwarded by a follower. */
export interface PendingRead {
  readonly from: ReplicaId | null;
  readonly readId: number;
  /** The read starts no round of its own; the next heartbeats confirm it. */
  readonly mayWait: boolean;
}

/** Reads that complete with `index` once their confirmation round does. */
export interface ReadBatch {
  readonly round: number;
  readonly index: number;
  readonly reads: readonly PendingRead[];
}

/** `disk-hangs`: this leader's own write doesn't end. */
export type TransferReason = 'requested' | 'disk-hangs';

/** A leadership transfer in progress. */
export interface LeadershipTransfer {
  readonly to: ReplicaId;
  readonly deadline: number;
  readonly reason: TransferReason;
  timeoutNowSent: boolean;
}

export class LeaderState {
  readonly progress = new Map<ReplicaId, Progress>();
  heartbeatDeadline: number;
  /** Number of the latest confirmation round started. */
  round = 0;
  /** Reads that are not part of a round yet. */
  waitingReads: PendingRead[] = [];
  /** Reads whose round is outstanding, oldest first. */
  readBatches: ReadBatch[] = [];
  transfer: LeadershipTransfer | undefined;
  /** Voters that were asked to take over because this leader's disk hangs, until all have been. */
  readonly askedToTakeOver = new Set<ReplicaId>();

  constructor(now: number) {
    this.heartbeatDeadline = now;
  }

  /** Adds progress records for new members and removes those of former members. */
  syncMembers(membership: Membership, self: ReplicaId, lastIndex: number, now: number): void {
    const others = allMembers(membership).filter((replica) => replica !== self);
    for (const replica of others) {
      if (!this.progress.has(replica)) {
        this.progress.set(replica, new Progress(lastIndex + 1, now));
      }
    }
    for (const replica of [...this.progress.keys()]) {
      if (!others.includes(replica)) {
        this.progress.delete(replica);
      }
    }
  }
}
