/** A planned handover of leadership to another voter, which an operator or a planned stop asks for. */
import type { RaftStatus } from '../consensus/types.js';
import type { MonotonicMillis, ReplicaId } from '../model/identifiers.js';
import type { RaftAdapter } from './raft-adapter.js';
import type { ControlConfig, OperationId, OperatorResponse } from './types.js';

/** A transfer that took no effect within this many election timeouts has failed. */
const TRANSFER_TIMEOUTS = 4;

export interface LeadershipTransferParts {
  readonly raft: RaftAdapter;
  readonly config: Pick<ControlConfig, 'raft'>;
  readonly answer: (operation: OperationId, response: OperatorResponse) => void;
}

interface Transfer {
  readonly operation: OperationId;
  readonly deadline: MonotonicMillis;
}

/** At most one transfer is under way. */
export class LeadershipTransfer {
  #transfer: Transfer | null = null;

  constructor(private readonly parts: LeadershipTransferParts) {}

  get isUnderWay(): boolean {
    return this.#transfer !== null;
  }

  /** For the leader only. `to`: `null` leaves the choice to the leader, which takes the voter that holds most. */
  begin(operation: OperationId, to: ReplicaId | null, now: MonotonicMillis): void {
    const { raft, config, answer } = this.parts;
    const target = to ?? mostAdvancedVoter(raft.status());
    if (target === undefined || this.#transfer !== null) {
      answer(operation, { type: 'rejected', message: 'no other voter, or a transfer is under way' });
      return;
    }
    const deadline = now + TRANSFER_TIMEOUTS * config.raft.electionTimeoutMillis;
    this.#transfer = { operation, deadline };
    raft.feed({ type: 'transfer', to: target });
  }

  /** Answers the transfer under way if it took effect or its time is up. */
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
