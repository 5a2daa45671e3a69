/** A planned transfer of leadership to another voter, requested by an operator or by a planned stop. */
import type { RaftStatus } from '../consensus/types.js';
import type { MonotonicMillis, ReplicaId } from '../model/identifiers.js';
import type { RaftAdapter } from './raft-adapter.js';
import type { ControlConfig, OperationId, OperatorResponse } from './types.js';

/** A transfer without effect within this many election timeouts has failed. */
const TRANSFER_ELECTION_TIMEOUTS = 4;

export interface LeadershipTransferParts {
  readonly raft: RaftAdapter;
  readonly config: Pick<ControlConfig, 'raft'>;
  readonly answer: (operation: OperationId, response: OperatorResponse) => void;
  /** Time since the last message of another member. */
  readonly silentMillis: (replica: ReplicaId, now: MonotonicMillis) => number;
}

interface Transfer {
  readonly operation: OperationId;
  readonly deadline: MonotonicMillis;
  /** Voters that haven't been asked, the best one first. */
  readonly untried: ReplicaId[];
  /** The Raft core gives up the voter that was asked last at this time. */
  attemptEnd: MonotonicMillis;
}

/** At most one transfer is in progress. */
export class LeadershipTransfer {
  #transfer: Transfer | null = null;

  constructor(private readonly parts: LeadershipTransferParts) {}

  get isUnderWay(): boolean {
    return this.#transfer !== null;
  }

  /**
   * Starts a transfer; for the leader only. If `to` is `null`, a voter that was heard most recently becomes the leader, and the next one
   * is asked if it doesn't within an election timeout.
   */
  begin(operation: OperationId, to: ReplicaId | null, now: MonotonicMillis): void {
    const { config, answer } = this.parts;
    const untried = to === null ? this.#bestVoters(now) : [to];
    if (untried.length === 0 || this.#transfer !== null) {
      answer(operation, { type: 'rejected', message: 'no other voter, or a transfer is under way' });
      return;
    }
    const deadline = now + TRANSFER_ELECTION_TIMEOUTS * config.raft.electionTimeoutMillis;
    this.#transfer = { operation, deadline, untried, attemptEnd: now };
    this.#askNext(this.#transfer, now);
  }

  /** Answers the transfer in progress if it took effect or timed out; asks the next voter if the one before didn't take it. */
  finish(now: MonotonicMillis): void {
    const transfer = this.#transfer;
    if (transfer === null) {
      return;
    }
    const { raft, answer } = this.parts;
    if (!raft.isLeader()) {
      this.#transfer = null;
      answer(transfer.operation, { type: 'done' });
    } else if (now >= transfer.deadline) {
      this.#transfer = null;
      answer(transfer.operation, { type: 'rejected', message: 'the transfer took no effect in time' });
    } else if (now >= transfer.attemptEnd) {
      this.#askNext(transfer, now);
    }
  }

  #askNext(transfer: Transfer, now: MonotonicMillis): void {
    const { raft, config } = this.parts;
    const to = transfer.untried.shift();
    if (to !== undefined) {
      transfer.attemptEnd = now + config.raft.electionTimeoutMillis;
      raft.feed({ type: 'transfer', to });
    }
  }

  /** The other voters: by the heartbeats that they left without an answer, then by their logs. */
  #bestVoters(now: MonotonicMillis): ReplicaId[] {
    const { raft, config, silentMillis } = this.parts;
    const { membership, matchIndexes, self }: RaftStatus = raft.status();
    const matchOf = (replica: ReplicaId): number => matchIndexes[replica] ?? 0;
    const missedBy = (replica: ReplicaId): number =>
      Math.floor(silentMillis(replica, now) / config.raft.heartbeatMillis);
    return membership.voters
      .filter((voter) => voter !== self)
      .sort((left, right) => missedBy(left) - missedBy(right) || matchOf(right) - matchOf(left));
  }
}
