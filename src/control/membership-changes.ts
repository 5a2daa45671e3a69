/** Membership changes of the control cluster: learners, replacement of replicas and transfer of leadership. */
import type { Address, MonotonicMillis, ReplicaId } from '../model/identifiers.js';
import { AutomaticRepair, type Repair, type WaitingReplica } from './automatic-repair.js';
import { LeadershipTransfer } from './leadership-transfer.js';
import { MEMBERSHIP_POLL_MILLIS, MembershipRetry } from './membership-retry.js';
import type { MembershipProposal, RaftAdapter } from './raft-adapter.js';
import { proposalFailure, ReplicaReplacement, type RequestedReplacement } from './replica-replacement.js';
import type { ControlConfig, OperationId, OperatorRequest, OperatorResponse } from './types.js';
import { VoteReleases } from './vote-releases.js';

export interface MembershipChangesParts {
  readonly config: ControlConfig;
  readonly raft: RaftAdapter;
  readonly answer: (operation: OperationId, response: OperatorResponse) => void;
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** The leader's view of the other replicas. */
export interface MembershipView {
  readonly waitingReplicas: readonly WaitingReplica[];
  readonly memberSilentMillis: Readonly<Record<ReplicaId, number>>;
}

/** Requests that change the control cluster itself. */
export type MembershipRequest = Extract<
  OperatorRequest,
  { readonly type: 'add-learner' | 'add-voter' | 'replace-replica' | 'transfer-leadership' | 'release-vote' }
>;

export class MembershipChanges {
  readonly #parts: MembershipChangesParts;
  readonly #retry = new MembershipRetry();
  readonly #replacement: ReplicaReplacement;
  readonly #transfer: LeadershipTransfer;
  #nextPollAt: MonotonicMillis = Number.POSITIVE_INFINITY;
  readonly #repair: AutomaticRepair;
  readonly #releases: VoteReleases;
  /** Whether the proposal of an automatic change that replaces no replica is pending. */
  #isProposing = false;
  /** The repair that was logged last; one that is begun again isn't logged again. */
  #loggedRepair = '';

  constructor(parts: MembershipChangesParts) {
    this.#parts = parts;
    const { raft, config, answer } = parts;
    this.#replacement = new ReplicaReplacement({ raft, answer, retry: this.#retry });
    this.#repair = new AutomaticRepair(config.replaceAfterMillis, config.maxVoters, config.raft);
    this.#releases = new VoteReleases({ raft, answer, repair: this.#repair });
    const silentMillis = (replica: ReplicaId, now: MonotonicMillis): number =>
      this.#repair.silentMillis(replica, now);
    this.#transfer = new LeadershipTransfer({ raft, answer, config, silentMillis });
  }

  /** Begins a change requested by an operator; `answer` is called at its end. Only the leader performs changes. */
  begin(operation: OperationId, request: MembershipRequest, now: MonotonicMillis): void {
    const { raft, answer } = this.#parts;
    if (!raft.isLeader()) {
      answer(operation, { type: 'not-leader', leader: raft.otherLeaderAddress() });
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
        this.#transfer.begin(operation, request.to, now);
        break;
      case 'release-vote':
        this.#releases.begin(operation, request.replica, now);
        break;
    }
  }

  /** Records a message of another member. */
  onPeerMessage(replica: ReplicaId, now: MonotonicMillis): void {
    this.#repair.onMessage(replica, now);
  }

  /** Records the request to join of a replica that isn't a member. */
  onJoinRequest(replica: ReplicaId, address: Address, now: MonotonicMillis): void {
    this.#repair.onJoinRequest(replica, address, now);
  }

  /** The leader's view of the other replicas; empty on other members. */
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

  /** When another replica was last heard; `null`: never. */
  heardAt(replica: ReplicaId): MonotonicMillis | null {
    return this.#repair.heardAt(replica);
  }

  /** Replicas that request to join and aren't members, as heard by this member. */
  joining(now: MonotonicMillis): readonly WaitingReplica[] {
    return this.#repair.waiting(this.#parts.raft.status(), now);
  }

  onRoleChange(now: MonotonicMillis): void {
    const isLeader = this.#parts.raft.isLeader();
    this.#repair.onRoleChange(isLeader, now);
    this.#isProposing = false;
    this.#loggedRepair = '';
    if (!isLeader) {
      this.#replacement.abandon();
      this.#releases.abandon();
    }
    this.#transfer.finish(now);
  }

  /** Performs the steps that are due, and answers the operations that have ended. */
  run(now: MonotonicMillis): void {
    this.#transfer.finish(now);
    if (this.#retry.isDue(now)) {
      this.#repairAutomatically(now);
    }
    this.#replacement.run(now);
    this.#releases.run(this.#replacement.isChangingVoters, now);
    const isBusy =
      this.#replacement.isUnderWay ||
      this.#transfer.isUnderWay ||
      this.#releases.areWaiting ||
      !this.#retry.isDue(now);
    const pollAt = isBusy ? now + MEMBERSHIP_POLL_MILLIS : Number.POSITIVE_INFINITY;
    this.#nextPollAt = Math.min(pollAt, this.#releases.nextDeadline());
  }

  nextDeadline(): MonotonicMillis {
    return this.#nextPollAt;
  }

  #beginReplacement(requested: RequestedReplacement, now: MonotonicMillis): void {
    this.#replacement.begin(requested);
    this.#nextPollAt = now;
  }

  #addLearner(operation: OperationId, replica: ReplicaId, address: Address): void {
    const { raft, answer } = this.#parts;
    raft.proposeMembership({ type: 'add-learner', replica, address }, (outcome) => {
      if (outcome.type === 'applied') {
        const { membership } = raft.status();
        answer(operation, { type: 'membership', membership, repaired: false });
      } else {
        answer(operation, proposalFailure(outcome, raft.otherLeaderAddress()));
      }
    });
  }

  #repairAutomatically(now: MonotonicMillis): void {
    const { raft } = this.#parts;
    if (this.#replacement.isChangingVoters || this.#isProposing || !raft.isLeader()) {
      return;
    }
    const repair = this.#repair.next(raft.status(), raft.details().caughtUp, now);
    if (repair !== null && !(repair.type === 'add' && this.#replacement.isUnderWay)) {
      this.#logRepair(repair, now);
      this.#beginRepair(repair, now);
    }
  }

  #beginRepair(repair: Repair, now: MonotonicMillis): void {
    switch (repair.type) {
      case 'replace':
        this.#replacement.begin({ ...repair, operation: null });
        break;
      case 'add': {
        const { voters } = this.#parts.raft.status().membership;
        this.#propose({ type: 'change-voters', voters: [...voters, ...repair.newReplicas] }, now);
        break;
      }
      case 'take-in': {
        const { replica, address } = repair;
        this.#propose({ type: 'add-learner', replica, address }, now);
        break;
      }
      case 'remove':
        this.#propose({ type: 'remove-learner', replica: repair.replica }, now);
        break;
    }
  }

  /** Proposes a change that replaces no replica; no repair begins before it is settled. */
  #propose(proposal: MembershipProposal, now: MonotonicMillis): void {
    this.#isProposing = true;
    this.#parts.raft.proposeMembership(proposal, (outcome) => {
      this.#isProposing = false;
      if (outcome.type !== 'applied') {
        this.#retry.onRejected(now);
      }
    });
  }

  #logRepair(repair: Repair, now: MonotonicMillis): void {
    const key = JSON.stringify(repair);
    if (key !== this.#loggedRepair) {
      this.#loggedRepair = key;
      const { type, ...fields } = repair;
      const silentMillis =
        'oldReplica' in repair ? Math.round(this.#repair.silentMillis(repair.oldReplica, now)) : null;
      this.#parts.log('repair-begun', { repair: type, ...fields, silentMillis });
    }
  }
}
