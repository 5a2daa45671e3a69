/** What the leader knows of one other member, and how fast it may send to it. */
import type { Snapshot } from './types.js';

/**
 * `probe`: one append at a time until the member's log is found to match; `replicate`: a window of appends;
 * `snapshot`: the member needs entries that are gone from the log.
 */
export type ProgressState = 'probe' | 'replicate' | 'snapshot';

/** A snapshot on its way to a member. */
export interface SnapshotTransfer {
  readonly snapshot: Snapshot;
  offset: number;
  /** When the chunk at `offset` was last sent. */
  sentAt: number;
}

export class Progress {
  state: ProgressState = 'probe';
  /** Last index known to match and to be synced. */
  matchIndex = 0;
  nextIndex: number;
  /** Last indexes of the appends that aren't answered yet, oldest first. */
  inFlight: number[] = [];
  /** Probe state: an append is out; the next goes after its answer or with the next heartbeat. */
  probeSent = false;
  transfer: SnapshotTransfer | undefined;
  /** Last confirmation round that the member answered. */
  answeredRound = 0;
  /** Commit index that the member was last told. */
  sentCommitIndex = 0;
  lastHeardAt: number;

  constructor(nextIndex: number, now: number) {
    this.nextIndex = nextIndex;
    this.lastHeardAt = now;
  }

  becomeProbe(nextIndex: number): void {
    this.state = 'probe';
    this.nextIndex = nextIndex;
    this.inFlight = [];
    this.probeSent = false;
    this.transfer = undefined;
  }

  becomeReplicate(): void {
    this.state = 'replicate';
    this.nextIndex = this.matchIndex + 1;
    this.inFlight = [];
    this.probeSent = false;
    this.transfer = undefined;
  }

  becomeSnapshot(snapshot: Snapshot): void {
    this.state = 'snapshot';
    this.inFlight = [];
    this.probeSent = false;
    this.transfer = { snapshot, offset: 0, sentAt: Number.NEGATIVE_INFINITY };
  }

  /** Takes an index that matches; frees the appends up to it. */
  matched(index: number): void {
    this.matchIndex = Math.max(this.matchIndex, index);
    this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
    while (this.inFlight.length > 0 && (this.inFlight[0] as number) <= this.matchIndex) {
      this.inFlight.shift();
    }
  }

  /** Takes a refusal; `hint` is where the member's log may match. Refusals older than a match are void. */
  refused(hint: number): boolean {
    if (this.state === 'snapshot' || hint < this.matchIndex) {
      return false;
    }
    this.becomeProbe(Math.max(this.matchIndex + 1, Math.min(this.nextIndex, hint + 1)));
    return true;
  }

  /** Whether entries may be sent now. */
  canSend(maxInFlight: number): boolean {
    if (this.state === 'probe') {
      return !this.probeSent;
    }
    return this.state === 'replicate' && this.inFlight.length < maxInFlight;
  }
}
