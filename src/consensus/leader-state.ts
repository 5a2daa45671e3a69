/** What only a leader keeps: progress of the other members, confirmation rounds, waiting reads, a transfer. */
import type { ReplicaId } from '../model/identifiers.js';
import { allMembers } from './membership.js';
import { Progress } from './progress.js';
import type { Membership } from './types.js';

/** A read asked here (`from` is `null`) or passed on by a follower. */
export interface PendingRead {
  readonly from: ReplicaId | null;
  readonly readId: number;
  /** It needs no round of its own: the next heartbeats confirm it. */
  readonly mayWait: boolean;
}

/** Reads which a confirmation round will answer with `index`. */
export interface ReadBatch {
  readonly round: number;
  readonly index: number;
  readonly reads: readonly PendingRead[];
}

/** Leadership on its way to another member. */
export interface LeadershipTransfer {
  readonly to: ReplicaId;
  readonly deadline: number;
  timeoutNowSent: boolean;
}

export class LeaderState {
  readonly progress = new Map<ReplicaId, Progress>();
  heartbeatDeadline: number;
  /** Number of the last confirmation round begun. */
  round = 0;
  /** Reads that wait for a round to begin. */
  waitingReads: PendingRead[] = [];
  /** Reads whose round is out, oldest first. */
  readBatches: ReadBatch[] = [];
  transfer: LeadershipTransfer | undefined;

  constructor(now: number) {
    this.heartbeatDeadline = now;
  }

  /** Makes progress records for new members and drops those of removed ones. */
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
