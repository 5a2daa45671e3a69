/** Changes of the control cluster itself: learners, replacement of replicas, transfer of leadership. */
import type { RaftStatus } from '../consensus/types.js';
import type { Address, MonotonicMillis, ReplicaId, Revision } from '../model/identifiers.js';
import { AutomaticRepair, type WaitingReplica } from './automatic-repair.js';
import type { ProposalOutcome } from './pending-proposals.js';
import type { RaftAdapter } from './raft-adapter.js';
import type { ControlConfig, OperationId, OperatorRequest, OperatorResponse } from './types.js';

/** How often a change that waits for a replica is looked at. */
const POLL_MILLIS = 50;
/** A transfer that took no effect within this many election timeouts has failed. */
const TRANSFER_TIMEOUTS = 4;

export interface MembershipDeskParts {
  readonly config: ControlConfig;
  readonly raft: RaftAdapter;
  readonly answer: (operation: OperationId, response: OperatorResponse) => void;
}

/** What a leader knows of other replicas. */
export interface MembershipView {
  readonly waitingReplicas: readonly WaitingReplica[];
  readonly memberSilentMillis: Readonly<Record<ReplicaId, number>>;
}

export type MembershipRequest = Extract<
  OperatorRequest,
  { readonly type: 'add-learner' | 'add-voter' | 'replace-replica' | 'transfer-leadership' }
>;

/** `learner`: wait until the new one holds everything. `joint`: the swap is in the log. */
interface Replacement {
  /** Who is answered at its end; `null`: started by the leader itself. */
  operation: OperationId | null;
  /** `null`: the new one votes beside all others. */
  readonly oldReplica: ReplicaId | null;
  readonly newReplica: ReplicaId;
  readonly address: Address;
  stage: 'start' | 'busy' | 'learner' | 'joint';
  /** Index that must be applied before the swap counts as made. */
  finalIndex: Revision | null;
}
interface Transfer {
  readonly operation: OperationId;
  readonly deadline: MonotonicMillis;
}

export class MembershipDesk {
  readonly #parts: MembershipDeskParts;
  #replacement: Replacement | null = null;
  #transfer: Transfer | null = null;
  #nextPollAt: MonotonicMillis = Number.POSITIVE_INFINITY;
  /** After a refusal by the Raft core nothing is proposed before this: the core settles many times within one step. */
  #notBefore: MonotonicMillis = Number.NEGATIVE_INFINITY;
  readonly #repair: AutomaticRepair;
  /** Whether a spare that is taken in by itself has yet to be settled. */
  #takesIn = false;

  constructor(parts: MembershipDeskParts) {
    this.#parts = parts;
    this.#repair = new AutomaticRepair(parts.config.replaceAfterMillis);
  }

  handle(operation: OperationId, request: MembershipRequest, now: MonotonicMillis): void {
    const { raft, answer } = this.#parts;
    if (!raft.isLeader()) {
      answer(operation, { type: 'not-leader', leader: raft.leaderAddress() });
      return;
    }
    switch (request.type) {
      case 'add-learner':
        this.#addLearner(operation, request.replica, request.address);
        break;
      case 'add-voter': {
        const { replica: newReplica, address } = request;
        this.#beginReplacement({ operation, oldReplica: null, newReplica, address }, now);
        break;
      }
      case 'replace-replica':
        this.#beginReplacement({ ...request, operation }, now);
        break;
      case 'transfer-leadership':
        this.#beginTransfer(operation, request.to, now);
        break;
    }
  }

  heard(replica: ReplicaId, now: MonotonicMillis): void {
    this.#repair.heard(replica, now);
  }

  joinRequested(replica: ReplicaId, address: Address, now: MonotonicMillis): void {
    this.#repair.asked(replica, address, now);
  }

  /** What a leader knows of other replicas; nothing on other members. */
  view(now: MonotonicMillis): MembershipView {
    const { raft } = this.#parts;
    if (!raft.isLeader()) {
      return { waitingReplicas: [], memberSilentMillis: {} };
    }
    const status = raft.status();
    const others = Object.keys(status.membership.addresses).filter((member) => member !== status.self);
    const silence = others.map((member) => [member, this.#repair.silentMillis(member, now)] as const);
    return {
      waitingReplicas: this.#repair.waiting(status, now),
      memberSilentMillis: Object.fromEntries(silence),
    };
  }

  roleChanged(now: MonotonicMillis): void {
    const leads = this.#parts.raft.isLeader();
    this.#repair.roleChanged(leads, now);
    this.#takesIn = false;
    if (!leads && this.#replacement !== null) {
      this.#finish(this.#replacement.operation, { type: 'unknown' });
    }
    this.#finishTransfer(now);
  }

  run(now: MonotonicMillis): void {
    this.#finishTransfer(now);
    if (now >= this.#notBefore) {
      this.#repairByItself(now);
    }
    if (now >= this.#notBefore && this.#replacement !== null && this.#parts.raft.isLeader()) {
      this.#advance(this.#replacement, now);
    }
    const isBusy = this.#replacement !== null || this.#transfer !== null || now < this.#notBefore;
    this.#nextPollAt = isBusy ? now + POLL_MILLIS : Number.POSITIVE_INFINITY;
  }

  nextDeadline(): MonotonicMillis {
    return this.#nextPollAt;
  }

  #addLearner(operation: OperationId, replica: ReplicaId, address: Address): void {
    const { raft, answer } = this.#parts;
    raft.proposeMembership({ type: 'add-learner', replica, address }, (outcome) => {
      const { membership } = raft.status();
      const isMade = outcome.type === 'applied';
      answer(
        operation,
        isMade ? { type: 'membership', membership, repaired: false } : this.#failure(outcome),
      );
    });
  }

  #beginReplacement(
    change: Pick<Replacement, 'operation' | 'oldReplica' | 'newReplica' | 'address'>,
    now: MonotonicMillis,
  ): void {
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
    this.#nextPollAt = now;
  }

  /**
   * A replacement whose new replica hasn't been let in gives way to another one that is asked for: the first may
   * name a replica that will never come. Its learner, if there is one, is taken out again.
   */
  #giveWay(
    running: Replacement,
    { operation, oldReplica, newReplica }: Pick<Replacement, 'operation' | 'oldReplica' | 'newReplica'>,
  ): boolean {
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
  #joinReplacement(
    running: Replacement,
    change: Pick<Replacement, 'operation' | 'oldReplica' | 'newReplica'>,
  ): void {
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
    proposal: Parameters<RaftAdapter['proposeMembership']>[0],
    before: Replacement['stage'],
    after: Replacement['stage'],
    now: MonotonicMillis,
  ): void {
    replacement.stage = 'busy';
    this.#parts.raft.proposeMembership(proposal, (outcome) => {
      if (outcome.type === 'applied') {
        replacement.stage = after;
      } else if (outcome.type === 'rejected') {
        replacement.stage = before;
        this.#notBefore = now + POLL_MILLIS;
      } else if (this.#replacement === replacement) {
        this.#finish(replacement.operation, this.#failure(outcome));
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

  #failure(outcome: ProposalOutcome): OperatorResponse {
    if (outcome.type === 'rejected') {
      return { type: 'rejected', message: outcome.reason };
    }
    const leader = this.#parts.raft.leaderAddress();
    return outcome.type === 'not-leader' ? { type: 'not-leader', leader } : { type: 'unknown' };
  }

  #repairByItself(now: MonotonicMillis): void {
    const { raft } = this.#parts;
    if (this.#replacement !== null || this.#takesIn || !raft.isLeader()) {
      return;
    }
    const repair = this.#repair.next(raft.status(), now);
    if (repair?.type === 'replace') {
      this.#beginReplacement({ operation: null, ...repair }, now);
    } else if (repair?.type === 'take-in') {
      const { replica, address } = repair;
      this.#takesIn = true;
      raft.proposeMembership({ type: 'add-learner', replica, address }, (outcome) => {
        this.#takesIn = false;
        this.#notBefore = outcome.type === 'applied' ? this.#notBefore : now + POLL_MILLIS;
      });
    }
  }

  #beginTransfer(operation: OperationId, to: ReplicaId | null, now: MonotonicMillis): void {
    const { raft, config, answer } = this.#parts;
    const target = to ?? mostAdvancedVoter(raft.status());
    if (target === undefined || this.#transfer !== null) {
      answer(operation, { type: 'rejected', message: 'no other voter, or a transfer is under way' });
      return;
    }
    const deadline = now + TRANSFER_TIMEOUTS * config.raft.electionTimeoutMillis;
    this.#transfer = { operation, deadline };
    raft.feed({ type: 'transfer', to: target });
  }

  #finishTransfer(now: MonotonicMillis): void {
    const transfer = this.#transfer;
    if (transfer === null) {
      return;
    }
    const { raft, answer } = this.#parts;
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
