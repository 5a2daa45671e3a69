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
}

interface Transfer {
  readonly operation: OperationId;
  readonly deadline: MonotonicMillis;
}

/** At most one transfer is in progress. */
export class LeadershipTransfer {
  #transfer: Transfer | null = null;

  constructor(private readonly parts: LeadershipTransferParts) {}

  get isUnderWay(): boolean {
    return this.#transfer !== null;
  }

  /** Starts a transfer; for the leader only. If `to` is `null`, the voter with the most complete log becomes the leader. */
  begin(operation: OperationId, to: ReplicaId | null, now: MonotonicMillis): void {
    const { raft, config, answer } = this.parts;
    const target = to ?? mostAdvancedVoter(raft.status());
    if (target === undefined || this.#transfer !== null) {
      answer(operation, { type: 'rejected', message: 'no other voter, or a transfer is under way' });
      return;
    }
    const deadline = now + TRANSFER_ELECTION_TIMEOUTS * config.raft.electionTimeoutMillis;
    this.#transfer = { operation, deadline };
    raft.feed({ type: 'transfer', to: target });
  }

  /** Answers the transfer in progress if it took effect or timed out. */
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
    }
  }
}

function mostAdvancedVoter({ membership, matchIndexes, self }: RaftStatus): ReplicaId | undefined {
  const matchOf = (replica: ReplicaId): number => matchIndexes[replica] ?? 0;
  return membership.voters
    .filter((voter) => voter !== self)
    .sort((left, right) => matchOf(right) - matchOf(left))[0];
}
