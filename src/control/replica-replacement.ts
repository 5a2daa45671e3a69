/**
 * Puts a replica in the place of another, or beside all others, step by step: the new one becomes a learner, holds
 * everything that is committed, and gets its vote when the old one loses its own.
 */
import type { RaftStatus } from '../consensus/types.js';
import type { Address, MonotonicMillis, ReplicaId, Revision } from '../model/identifiers.js';
import type { MembershipRetry } from './membership-retry.js';
import type { ProposalOutcome } from './pending-proposals.js';
import type { MembershipProposal, RaftAdapter } from './raft-adapter.js';
import type { OperationId, OperatorResponse } from './types.js';

export interface ReplicaReplacementParts {
  readonly raft: RaftAdapter;
  readonly retry: MembershipRetry;
  readonly answer: (operation: OperationId, response: OperatorResponse) => void;
}

/** What is to be replaced. */
export interface RequestedReplacement {
  /** Who is answered at its end; `null`: started by the leader itself. */
  readonly operation: OperationId | null;
  /** `null`: the new one votes beside all others. */
  readonly oldReplica: ReplicaId | null;
  readonly newReplica: ReplicaId;
  readonly address: Address;
}

/**
 * `start`: nothing proposed yet. `busy`: a proposal is under way. `learner`: the new one is to hold everything. `joint`:
 * the swap is in the log.
 */
type Stage = 'start' | 'busy' | 'learner' | 'joint';

interface Replacement extends RequestedReplacement {
  /** The latest that asked for it. */
  operation: OperationId | null;
  stage: Stage;
  /** Index that must be applied before the swap counts as made. */
  finalIndex: Revision | null;
}

/** At most one replacement is under way. */
export class ReplicaReplacement {
  readonly #parts: ReplicaReplacementParts;
  #replacement: Replacement | null = null;

  constructor(parts: ReplicaReplacementParts) {
    this.#parts = parts;
  }

  get isUnderWay(): boolean {
    return this.#replacement !== null;
  }

  /** Leadership was lost: whether the replacement will be made isn't known. */
  abandon(): void {
    if (this.#replacement !== null) {
      this.#finish(this.#replacement.operation, { type: 'unknown' });
    }
  }

  /** Takes the next step if it is due. */
  run(now: MonotonicMillis): void {
    const { raft, retry } = this.#parts;
    if (retry.isDue(now) && this.#replacement !== null && raft.isLeader()) {
      this.#advance(this.#replacement, now);
    }
  }

  /** Begins a replacement, or joins the one under way if it is the same. For the leader only. */
  begin(change: RequestedReplacement): void {
    const { operation, oldReplica, newReplica, address } = change;
    if (this.#replacement !== null && !this.#giveWay(this.#replacement, change)) {
      this.#joinReplacement(this.#replacement, change);
      return;
    }
    const { voters } = this.#parts.raft.status().membership;
    const oldVotes = oldReplica !== null && voters.includes(oldReplica);
    const isDone = voters.includes(newReplica) && !oldVotes;
    if (!isDone && oldReplica !== null && !oldVotes) {
      this.#reply(operation, { type: 'rejected', message: `${oldReplica} is not a voter` });
      return;
    }
    const stage = isDone ? 'joint' : 'start';
    this.#replacement = { operation, oldReplica, newReplica, address, stage, finalIndex: null };
  }

  /**
   * A replacement whose new replica hasn't been let in gives way to another one that is asked for: the first may
   * name a replica that will never come. Its learner, if there is one, is taken out again.
   */
  #giveWay(running: Replacement, { operation, oldReplica, newReplica }: RequestedReplacement): boolean {
    const isSame = running.oldReplica === oldReplica && running.newReplica === newReplica;
    const isLetIn = running.stage === 'joint' || running.stage === 'busy';
    if (operation === null || isSame || isLetIn) {
      return false;
    }
    const { raft } = this.#parts;
    const { learners } = raft.status().membership;
    if (running.newReplica !== newReplica && learners.includes(running.newReplica)) {
      raft.proposeMembership({ type: 'remove-learner', replica: running.newReplica }, () => {});
    }
    const message = `given up: ${newReplica} was asked for in place of ${running.newReplica}`;
    this.#finish(running.operation, { type: 'rejected', message });
    return true;
  }

  /** A resend of the replacement under way gets its answer in place of the one before. */
  #joinReplacement(running: Replacement, change: RequestedReplacement): void {
    const { operation, oldReplica, newReplica } = change;
    if (running.oldReplica !== oldReplica || running.newReplica !== newReplica) {
      this.#reply(operation, { type: 'rejected', message: 'another replacement is under way' });
      return;
    }
    this.#reply(running.operation, { type: 'unknown' });
    running.operation = operation;
  }

  #advance(replacement: Replacement, now: MonotonicMillis): void {
    const status = this.#parts.raft.status();
    switch (replacement.stage) {
      case 'start':
        this.#ensureLearner(replacement, status, now);
        break;
      case 'learner':
        this.#swapWhenCaughtUp(replacement, status, now);
        break;
      case 'joint':
        this.#finishWhenSwapped(replacement, status);
        break;
      case 'busy':
        break;
    }
  }

  #ensureLearner(replacement: Replacement, { membership }: RaftStatus, now: MonotonicMillis): void {
    const { newReplica: replica, address } = replacement;
    if (membership.learners.includes(replica)) {
      replacement.stage = 'learner';
      return;
    }
    this.#proposeStep(replacement, { type: 'add-learner', replica, address }, 'start', 'learner', now);
  }

  /** The new replica has synced everything committed before the old one's vote goes. */
  #swapWhenCaughtUp(replacement: Replacement, status: RaftStatus, now: MonotonicMillis): void {
    const { oldReplica, newReplica } = replacement;
    if ((status.matchIndexes[newReplica] ?? 0) < status.commitIndex) {
      return;
    }
    const kept = status.membership.voters.filter((voter) => voter !== oldReplica);
    const voters = [...new Set([...kept, newReplica])];
    this.#proposeStep(replacement, { type: 'change-voters', voters }, 'learner', 'joint', now);
  }

  #finishWhenSwapped(replacement: Replacement, status: RaftStatus): void {
    const { membership, lastIndex } = status;
    const isVoter = membership.voters.includes(replacement.newReplica);
    const { oldReplica } = replacement;
    const oldVotes = oldReplica !== null && membership.voters.includes(oldReplica);
    if (!isVoter || oldVotes || membership.outgoingVoters.length > 0) {
      return;
    }
    replacement.finalIndex ??= lastIndex;
    const holds = (status.matchIndexes[replacement.newReplica] ?? 0) >= replacement.finalIndex;
    const isOwnSwap = replacement.newReplica === status.self;
    if (status.commitIndex >= replacement.finalIndex && (holds || isOwnSwap)) {
      this.#finish(replacement.operation, { type: 'membership', membership, repaired: true });
    }
  }

  /** Refusals that pass by themselves are tried again at the next poll. */
  #proposeStep(
    replacement: Replacement,
    proposal: MembershipProposal,
    before: Stage,
    after: Stage,
    now: MonotonicMillis,
  ): void {
    replacement.stage = 'busy';
    this.#parts.raft.proposeMembership(proposal, (outcome) => {
      if (outcome.type === 'applied') {
        replacement.stage = after;
      } else if (outcome.type === 'rejected') {
        replacement.stage = before;
        this.#parts.retry.refused(now);
      } else if (this.#replacement === replacement) {
        this.#finish(replacement.operation, proposalFailure(outcome, this.#parts.raft.leaderAddress()));
      }
    });
  }

  #finish(operation: OperationId | null, response: OperatorResponse): void {
    this.#replacement = null;
    this.#reply(operation, response);
  }

  #reply(operation: OperationId | null, response: OperatorResponse): void {
    if (operation !== null) {
      this.#parts.answer(operation, response);
    }
  }
}

/** How an operator is told that a change of the membership wasn't made. */
export function proposalFailure(
  outcome: Exclude<ProposalOutcome, { readonly type: 'applied' }>,
  leader: Address | null,
): OperatorResponse {
  if (outcome.type === 'rejected') {
    return { type: 'rejected', message: outcome.reason };
  }
  return outcome.type === 'not-leader' ? { type: 'not-leader', leader } : { type: 'unknown' };
}
