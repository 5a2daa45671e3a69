/** The leader's replication state for one other member, including flow control. */
import type { Snapshot } from './types.js';

/**
 * `probe`: one append at a time until a matching index is found; `replicate`: a window of appends;
 * `snapshot`: the member needs entries that were compacted.
 */
export type ProgressState = 'probe' | 'replicate' | 'snapshot';

/** A snapshot transfer to a member in progress. */
export interface SnapshotTransfer {
  readonly snapshot: Snapshot;
  offset: number;
  /** When the chunk at `offset` was last sent. */
  sentAt: number;
}

export class Progress {
  state: ProgressState = 'probe';
  /** Last index that is known to match and to be synced. */
  matchIndex = 0;
  /** When `matchIndex` last grew. */
  matchGrewAt = Number.NEGATIVE_INFINITY;
  nextIndex: number;
  /** Last index of each unacknowledged append, oldest first. */
  inFlight: number[] = [];
  /** Probe state: an append is outstanding; the next is sent after its response or with the next heartbeat. */
  probeSent = false;
  transfer: SnapshotTransfer | undefined;
  /** Latest confirmation round that the member acknowledged. */
  acknowledgedRound = 0;
  /** Commit index that was last sent to the member. */
  sentCommitIndex = 0;
  lastContactAt: number;
  /** Catch-up round: what was committed when it started ends at `roundEndIndex`. */
  #roundEndIndex: number;
  #roundStartedAt: number;
  /** Start of the last complete round: the member holds what was committed then. */
  #holdsAsOf = Number.NEGATIVE_INFINITY;

  constructor(nextIndex: number, now: number) {
    this.nextIndex = nextIndex;
    this.lastContactAt = now;
    this.#roundEndIndex = nextIndex - 1;
    this.#roundStartedAt = now;
  }

  /** Ends the catch-up round if the member has synced its entries, and starts the next one. */
  recordRound(commitIndex: number, now: number): void {
    if (this.matchIndex >= this.#roundEndIndex) {
      this.#holdsAsOf = this.#roundStartedAt;
      this.#roundEndIndex = commitIndex;
      this.#roundStartedAt = now;
    }
  }

  /** Whether the member has synced everything that is committed, or was committed at most `lagMillis` ago. */
  isCaughtUp(commitIndex: number, lagMillis: number, now: number): boolean {
    return this.matchIndex >= commitIndex || now - this.#holdsAsOf <= lagMillis;
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

  /** Records a matching index and removes the appends up to it from the window. */
  recordMatch(index: number, now: number): void {
    if (index > this.matchIndex) {
      this.matchIndex = index;
      this.matchGrewAt = now;
    }
    this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
    while (this.inFlight.length > 0 && (this.inFlight[0] as number) <= this.matchIndex) {
      this.inFlight.shift();
    }
  }

  /**
   * Returns to probing after a rejected append; `hint` is the index at which the member's log may match. Ignores
   * the rejection and returns false during a snapshot transfer, or if the rejection is older than a match.
   */
  handleRejection(hint: number): boolean {
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
