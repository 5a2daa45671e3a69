/**
 * Replaces a replica by another, or adds one, in steps: the new replica becomes a learner, catches up with
 * everything that is committed, and becomes a voter in the same change that removes the old replica's vote.
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

/** A requested replacement. */
export interface RequestedReplacement {
  /** The operation to answer at the end; `null`: the leader started the replacement itself. */
  readonly operation: OperationId | null;
  /** `null`: the new replica is added to the existing voters. */
  readonly oldReplica: ReplicaId | null;
  readonly newReplica: ReplicaId;
  readonly address: Address;
}

/**
 * `start`: nothing is proposed yet. `busy`: a proposal is under way. `learner`: the new replica is catching up. `joint`:
 * the change of voters is in the log.
 */
type Stage = 'start' | 'busy' | 'learner' | 'joint';

interface Replacement extends RequestedReplacement {
  /** The latest operation that requested it. */
  operation: OperationId | null;
  stage: Stage;
  /** Index that must be committed, and held by the new replica, before the replacement counts as complete. */
  finalIndex: Revision | null;
}

/** Runs at most one replacement at a time. */
export class ReplicaReplacement {
  readonly #parts: ReplicaReplacementParts;
  #replacement: Replacement | null = null;

  constructor(parts: ReplicaReplacementParts) {
    this.#parts = parts;
  }

  get isUnderWay(): boolean {
    return this.#replacement !== null;
  }

  /** Whether voters are being changed. A replacement that waits for its new replica doesn't count: that replica may never come. */
  get isChangingVoters(): boolean {
    return this.#replacement !== null && !this.#isWaiting(this.#replacement);
  }

  /** Called when leadership is lost: the outcome of the replacement is then unknown. */
  abandon(): void {
    if (this.#replacement !== null) {
      this.#finish(this.#replacement.operation, { type: 'unknown' });
    }
  }

  /** Performs the next step if it is due. */
  run(now: MonotonicMillis): void {
    const { raft, retry } = this.#parts;
    if (retry.isDue(now) && this.#replacement !== null && raft.isLeader()) {
      this.#advance(this.#replacement, now);
    }
  }

  /** Begins a replacement, or joins the one under way if it is the same. Called on the leader only. */
  begin(change: RequestedReplacement): void {
    const { operation, oldReplica, newReplica, address } = change;
    if (this.#replacement !== null && !this.#supersede(this.#replacement, change)) {
      this.#joinReplacement(this.#replacement, change);
      return;
    }
    const { voters } = this.#parts.raft.status().membership;
    const isOldVoter = oldReplica !== null && voters.includes(oldReplica);
    const isDone = voters.includes(newReplica) && !isOldVoter;
    if (!isDone && oldReplica !== null && !isOldVoter) {
      this.#reply(operation, { type: 'rejected', message: `${oldReplica} is not a voter` });
      return;
    }
    const stage = isDone ? 'joint' : 'start';
    this.#replacement = { operation, oldReplica, newReplica, address, stage, finalIndex: null };
  }

  /** Whether the replacement waits for its new replica, before the change of voters or after it. */
  #isWaiting({ stage, finalIndex }: Replacement): boolean {
    const isBefore = stage === 'start' || stage === 'learner';
    const isAfter = finalIndex !== null && this.#parts.raft.status().commitIndex >= finalIndex;
    return isBefore || isAfter;
  }

  /** Ends the running replacement in favour of another one, if it waits for its new replica, which may never come. Returns whether it ended. */
  #supersede(running: Replacement, change: RequestedReplacement): boolean {
    const isSame = running.oldReplica === change.oldReplica && running.newReplica === change.newReplica;
    if (isSame) {
      return false;
    }
    return change.operation === null ? this.#giveWay(running, change) : this.#giveUp(running, change);
  }

  /** Ends it in favour of a repair. Its new replica stays a learner. */
  #giveWay(running: Replacement, { oldReplica, newReplica }: RequestedReplacement): boolean {
    if (!this.#isWaiting(running)) {
      return false;
    }
    const message = `given up: ${oldReplica} is lost, and ${newReplica} takes its place`;
    const isChanged = running.finalIndex !== null;
    this.#finish(running.operation, isChanged ? { type: 'unknown' } : { type: 'rejected', message });
    return true;
  }

  /**
   * Ends it in favour of another one requested by an operator. This isn't possible while a proposal is under way or once the change of
   * voters is in the log. A learner is removed again.
   */
  #giveUp(running: Replacement, { newReplica }: RequestedReplacement): boolean {
    if (running.stage === 'joint' || running.stage === 'busy') {
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

  /** A repeated request for the running replacement is answered at its end, in place of the earlier request. */
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
        this.#changeVotersWhenCaughtUp(replacement, status, now);
        break;
      case 'joint':
        this.#finishWhenComplete(replacement, status);
        break;
      case 'busy':
        break;
    }
  }

  #ensureLearner(replacement: Replacement, status: RaftStatus, now: MonotonicMillis): void {
    const { membership } = status;
    const { newReplica: replica, address } = replacement;
    if (membership.learners.includes(replica)) {
      replacement.stage = 'learner';
      this.#changeVotersWhenCaughtUp(replacement, status, now);
      return;
    }
    if (replacement.operation === null) {
      this.#finish(null, { type: 'unknown' });
      return;
    }
    this.#proposeStep(replacement, { type: 'add-learner', replica, address }, 'start', 'learner', now);
  }

  /**
   * Proposes the change of voters once the new replica is caught up. The leader's own replacement doesn't wait for that: it ends, and
   * the leader chooses again among the replicas that are, since this one may be lost.
   */
  #changeVotersWhenCaughtUp(replacement: Replacement, status: RaftStatus, now: MonotonicMillis): void {
    const { operation, oldReplica, newReplica } = replacement;
    if (!this.#parts.raft.details().caughtUp.includes(newReplica)) {
      if (operation === null) {
        this.#finish(null, { type: 'unknown' });
      }
      return;
    }
    const kept = status.membership.voters.filter((voter) => voter !== oldReplica);
    const voters = [...new Set([...kept, newReplica])];
    this.#proposeStep(replacement, { type: 'change-voters', voters }, 'learner', 'joint', now);
  }

  #finishWhenComplete(replacement: Replacement, status: RaftStatus): void {
    const { membership, lastIndex } = status;
    const isVoter = membership.voters.includes(replacement.newReplica);
    const { oldReplica } = replacement;
    const isOldVoter = oldReplica !== null && membership.voters.includes(oldReplica);
    if (!isVoter || isOldVoter || membership.outgoingVoters.length > 0) {
      return;
    }
    replacement.finalIndex ??= lastIndex;
    const isCaughtUp = (status.matchIndexes[replacement.newReplica] ?? 0) >= replacement.finalIndex;
    const isSelf = replacement.newReplica === status.self;
    // Nobody waits for the leader's own replacement, and the next one mustn't wait for a replica that may be lost again.
    const isOwn = replacement.operation === null;
    if (status.commitIndex >= replacement.finalIndex && (isCaughtUp || isSelf || isOwn)) {
      this.#finish(replacement.operation, { type: 'membership', membership, repaired: true });
    }
  }

  /** Proposes one step. A rejected proposal is retried later, since the cause may be temporary. */
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
        this.#parts.retry.onRejected(now);
        this.#onRejected(replacement, before);
      } else if (this.#replacement === replacement) {
        this.#finish(replacement.operation, proposalFailure(outcome, this.#parts.raft.otherLeaderAddress()));
      }
    });
  }

  /** The leader's own replacement ends: by the next try its new replica may have fallen silent, so the leader chooses again. */
  #onRejected(replacement: Replacement, before: Stage): void {
    replacement.stage = before;
    if (replacement.operation === null && this.#replacement === replacement) {
      this.#finish(null, { type: 'unknown' });
    }
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

/** Returns the response to an operator for a membership change that failed. */
export function proposalFailure(
  outcome: Exclude<ProposalOutcome, { readonly type: 'applied' }>,
  leader: Address | null,
): OperatorResponse {
  if (outcome.type === 'rejected') {
    return { type: 'rejected', message: outcome.reason };
  }
  return outcome.type === 'not-leader' ? { type: 'not-leader', leader } : { type: 'unknown' };
}
