/**
 * Automatic membership changes by the leader: it adds waiting replicas as spare learners, replaces a voter that was silent for too long by
 * a spare that is caught up, and removes learners that lost their disk.
 */
import type { RaftStatus, RaftTimings } from '../consensus/types.js';
import type { Address, MonotonicMillis, ReplicaId } from '../model/identifiers.js';
import { VoterGrowth } from './voter-growth.js';

/** How long a join request of a replica counts; replicas repeat it until they are members. */
export const JOIN_REQUEST_LIFETIME_MILLIS = 5000;

/** Of the Raft core, if none are given. */
const DEFAULT_TIMINGS = { electionTimeoutMillis: 300 } as const;

/** A replica that requested to join. */
export interface WaitingReplica {
  readonly replica: ReplicaId;
  readonly address: Address;
}

/** Why a voter is replaced. `disk-lost`: a new replica runs at its address. `leaving`: it stops as planned. */
export type ReplacementReason = (typeof REPLACEMENT_REASONS)[number];

/** In the order in which votes are given to spares: a voter that leaves still votes. */
const REPLACEMENT_REASONS = ['disk-lost', 'silent', 'leaving'] as const;

/** An automatic change of the membership. */
export type Repair =
  | ({ readonly type: 'take-in' } & WaitingReplica)
  /** Spares become additional voters, in one change. */
  | { readonly type: 'add'; readonly newReplicas: readonly ReplicaId[] }
  | {
      readonly type: 'replace';
      readonly oldReplica: ReplicaId;
      readonly newReplica: ReplicaId;
      readonly address: Address;
      readonly reason: ReplacementReason;
    }
  /** A learner at whose address `successor` runs stops being a member. */
  | {
      readonly type: 'remove';
      readonly replica: ReplicaId;
      readonly address: Address;
      readonly successor: ReplicaId;
    };

interface TimedWaitingReplica extends WaitingReplica {
  readonly requestedAt: MonotonicMillis;
}

export class AutomaticRepair {
  readonly #waiting = new Map<ReplicaId, TimedWaitingReplica>();
  readonly #lastMessageAt = new Map<ReplicaId, MonotonicMillis>();
  /** When this leader first saw each learner: one that was just taken in has not been heard yet. */
  readonly #learnerSince = new Map<ReplicaId, MonotonicMillis>();
  /** When replicas said that they stop as planned. */
  readonly #leftAt = new Map<ReplicaId, MonotonicMillis>();
  readonly #growth: VoterGrowth;
  #leaderSince: MonotonicMillis = Number.POSITIVE_INFINITY;

  /**
   * `replaceAfterMillis`: how long a voter may be silent; 0 disables automatic repair. `maxVoters`: spares become additional voters
   * up to this number of voters. A live member answers the leader several times within an election timeout.
   */
  constructor(
    private readonly replaceAfterMillis: number,
    maxVoters = 0,
    private readonly timings: Pick<RaftTimings, 'electionTimeoutMillis'> = DEFAULT_TIMINGS,
  ) {
    this.#growth = new VoterGrowth(maxVoters);
  }

  onMessage(replica: ReplicaId, now: MonotonicMillis): void {
    this.#lastMessageAt.set(replica, now);
  }

  onJoinRequest(replica: ReplicaId, address: Address, now: MonotonicMillis): void {
    this.#waiting.set(replica, { replica, address, requestedAt: now });
    this.#leftAt.delete(replica);
  }

  /** Records that a replica stops as planned. Its silence counts as soon as this is forgotten, should it not come back. */
  onLeave(replica: ReplicaId, now: MonotonicMillis): void {
    for (const former of this.#leftAt.keys()) {
      if (!this.#isLeaving(former, now)) {
        this.#leftAt.delete(former);
      }
    }
    this.#leftAt.set(replica, now);
  }

  /** Whether a live spare may get a vote, now or once it is caught up. */
  hasSpare(status: RaftStatus, now: MonotonicMillis): boolean {
    this.#recordLearners(status.membership.learners, now);
    return (
      this.replaceAfterMillis > 0 &&
      status.membership.learners.some((learner) => this.#isSpare(learner, status, now))
    );
  }

  onRoleChange(isLeader: boolean, now: MonotonicMillis): void {
    this.#leaderSince = isLeader ? Math.min(this.#leaderSince, now) : Number.POSITIVE_INFINITY;
    this.#learnerSince.clear();
    this.#leftAt.clear();
    this.#growth.onRoleChange();
  }

  /** Replicas that currently request to join and aren't members. */
  waiting({ membership }: RaftStatus, now: MonotonicMillis): readonly WaitingReplica[] {
    for (const { replica, requestedAt } of this.#waiting.values()) {
      if (membership.addresses[replica] !== undefined || now - requestedAt > JOIN_REQUEST_LIFETIME_MILLIS) {
        this.#waiting.delete(replica);
      }
    }
    return [...this.#waiting.values()].map(({ replica, address }) => ({ replica, address }));
  }

  /** When another replica was last heard; `null`: never. */
  heardAt(replica: ReplicaId): MonotonicMillis | null {
    return this.#lastMessageAt.get(replica) ?? null;
  }

  /** Time since the last message of another member, counted from the start of the leadership at the earliest. */
  silentMillis(replica: ReplicaId, now: MonotonicMillis): number {
    return Math.max(0, now - Math.max(this.#lastMessageAt.get(replica) ?? 0, this.#leaderSince));
  }

  /**
   * Returns the next change that is due, or `null`. For the leader only. `caughtUp`: members that are close enough to it to vote. The vote
   * of a lost member comes first, since the next loss may leave no majority.
   */
  next(status: RaftStatus, caughtUp: readonly ReplicaId[], now: MonotonicMillis): Repair | null {
    if (this.replaceAfterMillis <= 0) {
      return null;
    }
    this.#recordLearners(status.membership.learners, now);
    const spares = status.membership.learners.filter(
      (learner) =>
        caughtUp.includes(learner) &&
        this.#isSpare(learner, status, now) &&
        this.#isAnswering(learner, now) &&
        !this.#isContested(learner, status),
    );
    return (
      this.#replacement(status, spares, now) ??
      this.#takeIn(status, now) ??
      this.#addition(status, spares, now) ??
      this.#removal(status, now)
    );
  }

  #recordLearners(learners: readonly ReplicaId[], now: MonotonicMillis): void {
    for (const replica of this.#learnerSince.keys()) {
      if (!learners.includes(replica)) {
        this.#learnerSince.delete(replica);
      }
    }
    for (const replica of learners) {
      this.#learnerSince.set(replica, this.#learnerSince.get(replica) ?? now);
    }
  }

  #replacement(status: RaftStatus, spares: readonly ReplicaId[], now: MonotonicMillis): Repair | null {
    const [newReplica] = spares;
    if (newReplica === undefined) {
      return null;
    }
    const { self, membership } = status;
    const address = membership.addresses[newReplica] ?? '';
    const others = membership.voters.filter((voter) => voter !== self);
    for (const reason of REPLACEMENT_REASONS) {
      const oldReplica = others.find((voter) => this.#isToReplace(voter, reason, status, now));
      if (oldReplica !== undefined) {
        return { type: 'replace', oldReplica, newReplica, address, reason };
      }
    }
    return null;
  }

  #isToReplace(
    voter: ReplicaId,
    reason: ReplacementReason,
    status: RaftStatus,
    now: MonotonicMillis,
  ): boolean {
    switch (reason) {
      case 'disk-lost':
        return status.membership.learners.some((learner) => this.#runsInPlaceOf(learner, voter, status));
      case 'silent':
        return this.#isSilent(voter, now);
      case 'leaving':
        return this.#isLeaving(voter, now);
    }
  }

  #takeIn(status: RaftStatus, now: MonotonicMillis): Repair | null {
    const [waiting] = this.waiting(status, now);
    return waiting === undefined ? null : { type: 'take-in', ...waiting };
  }

  #addition({ membership }: RaftStatus, spares: readonly ReplicaId[], now: MonotonicMillis): Repair | null {
    const newReplicas = this.#growth.next(membership, spares, now);
    return newReplicas.length === 0 ? null : { type: 'add', newReplicas };
  }

  /** A learner that lost its disk would stay a member for ever; one that is alone at its address may come back. */
  #removal(status: RaftStatus, now: MonotonicMillis): Repair | null {
    const { learners, addresses } = status.membership;
    for (const replica of learners) {
      const successor = this.#successorOf(replica, status);
      if (successor !== null && now - this.#lastSignOf(replica) >= this.replaceAfterMillis) {
        return { type: 'remove', replica, address: addresses[replica] ?? '', successor };
      }
    }
    return null;
  }

  /** Whether a learner may get a vote once it is caught up. */
  #isSpare(learner: ReplicaId, status: RaftStatus, now: MonotonicMillis): boolean {
    return (
      now - this.#lastSignOf(learner) < this.replaceAfterMillis &&
      !this.#isLeaving(learner, now) &&
      this.#successorOf(learner, status) === null
    );
  }

  /** A learner that has left several heartbeats unanswered may be lost, though it was caught up when it was heard last. */
  #isAnswering(learner: ReplicaId, now: MonotonicMillis): boolean {
    return now - this.#heardAt(learner) <= this.timings.electionTimeoutMillis;
  }

  /** Whether another member was heard at the learner's address so late that either may be the one that has ended. */
  #isContested(learner: ReplicaId, { membership }: RaftStatus): boolean {
    const { voters, learners, addresses } = membership;
    const address = addresses[learner];
    const endedBefore = this.#heardAt(learner) - this.timings.electionTimeoutMillis;
    return [...voters, ...learners].some(
      (other) =>
        other !== learner && address && addresses[other] === address && this.#heardAt(other) > endedBefore,
    );
  }

  /** A replica that left may come back, so this is forgotten when its silence would count. */
  #isLeaving(replica: ReplicaId, now: MonotonicMillis): boolean {
    return now - (this.#leftAt.get(replica) ?? Number.NEGATIVE_INFINITY) < this.replaceAfterMillis;
  }

  #isSilent(replica: ReplicaId, now: MonotonicMillis): boolean {
    return this.silentMillis(replica, now) >= this.replaceAfterMillis;
  }

  /** Another member that runs at the replica's address, in which case the replica has lost its disk and never comes back; `null`: none. */
  #successorOf(replica: ReplicaId, status: RaftStatus): ReplicaId | null {
    const { voters, learners } = status.membership;
    return [...voters, ...learners].find((other) => this.#runsInPlaceOf(other, replica, status)) ?? null;
  }

  /**
   * Whether `replica` runs at the address of `former`, which has ended: an address serves one replica, and `replica` was still heard
   * there after `former` had been silent for an election timeout. A message that came late proves nothing, as it may be older than the
   * other's last one. What was heard before this leadership doesn't count, as other members may have been silent towards this one alone.
   */
  #runsInPlaceOf(replica: ReplicaId, former: ReplicaId, { self, membership }: RaftStatus): boolean {
    const { addresses } = membership;
    const address = addresses[former];
    if (replica === former || former === self || !address || addresses[replica] !== address) {
      return false;
    }
    const heardAt = this.#heardAt(replica);
    const endedAt = this.#lastSignOf(former) + this.timings.electionTimeoutMillis;
    return replica === self || (heardAt >= this.#leaderSince && heardAt >= endedAt);
  }

  #heardAt(replica: ReplicaId): MonotonicMillis {
    return this.#lastMessageAt.get(replica) ?? Number.NEGATIVE_INFINITY;
  }

  /** When a member was last heard or, if it is a learner, first seen in this leadership if that is later. */
  #lastSignOf(replica: ReplicaId): MonotonicMillis {
    return Math.max(this.#heardAt(replica), this.#learnerSince.get(replica) ?? Number.NEGATIVE_INFINITY);
  }
}
