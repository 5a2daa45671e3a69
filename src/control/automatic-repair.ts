/**
 * Automatic membership changes by the leader: it adds waiting replicas as spare learners, replaces a voter that was silent for too long by
 * a spare that is caught up, and removes learners that lost their disk.
 */
import type { RaftStatus } from '../consensus/types.js';
import type { Address, MonotonicMillis, ReplicaId } from '../model/identifiers.js';

/** How long a join request of a replica counts; replicas repeat it until they are members. */
export const JOIN_REQUEST_LIFETIME_MILLIS = 5000;

/** A replica that requested to join. */
export interface WaitingReplica {
  readonly replica: ReplicaId;
  readonly address: Address;
}

/** Why a voter is replaced. `disk-lost`: a new replica runs at its address. */
export type ReplacementReason = 'disk-lost' | 'silent';

/** An automatic change of the membership. */
export type Repair =
  | ({ readonly type: 'take-in' } & WaitingReplica)
  /** A spare becomes an additional voter. */
  | { readonly type: 'add'; readonly newReplica: ReplicaId; readonly address: Address }
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
  #leaderSince: MonotonicMillis = Number.POSITIVE_INFINITY;

  /**
   * `replaceAfterMillis`: how long a voter may be silent; 0 disables automatic repair. `maxVoters`: spares become additional voters
   * up to this number of voters.
   */
  constructor(
    private readonly replaceAfterMillis: number,
    private readonly maxVoters = 0,
  ) {}

  onMessage(replica: ReplicaId, now: MonotonicMillis): void {
    this.#lastMessageAt.set(replica, now);
  }

  onJoinRequest(replica: ReplicaId, address: Address, now: MonotonicMillis): void {
    this.#waiting.set(replica, { replica, address, requestedAt: now });
  }

  onRoleChange(isLeader: boolean, now: MonotonicMillis): void {
    this.#leaderSince = isLeader ? Math.min(this.#leaderSince, now) : Number.POSITIVE_INFINITY;
    this.#learnerSince.clear();
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
        !this.#isSilent(learner, now) &&
        this.#successorOf(learner, status) === null,
    );
    return (
      this.#replacement(status, spares, now) ??
      this.#takeIn(status, now) ??
      this.#growth(status, spares) ??
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
    for (const oldReplica of membership.voters) {
      const reason = oldReplica === self ? null : this.#reasonToReplace(oldReplica, status, now);
      if (reason !== null) {
        return { type: 'replace', oldReplica, newReplica, address, reason };
      }
    }
    return null;
  }

  #reasonToReplace(voter: ReplicaId, status: RaftStatus, now: MonotonicMillis): ReplacementReason | null {
    const { learners } = status.membership;
    if (learners.some((learner) => this.#runsInPlaceOf(learner, voter, status))) {
      return 'disk-lost';
    }
    return this.#isSilent(voter, now) ? 'silent' : null;
  }

  #takeIn(status: RaftStatus, now: MonotonicMillis): Repair | null {
    const [waiting] = this.waiting(status, now);
    return waiting === undefined ? null : { type: 'take-in', ...waiting };
  }

  #growth({ membership }: RaftStatus, [newReplica]: readonly ReplicaId[]): Repair | null {
    if (newReplica === undefined || membership.voters.length >= this.maxVoters) {
      return null;
    }
    return { type: 'add', newReplica, address: membership.addresses[newReplica] ?? '' };
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

  #isSilent(replica: ReplicaId, now: MonotonicMillis): boolean {
    return this.silentMillis(replica, now) >= this.replaceAfterMillis;
  }

  /** Another member that runs at the replica's address, in which case the replica has lost its disk and never comes back; `null`: none. */
  #successorOf(replica: ReplicaId, status: RaftStatus): ReplicaId | null {
    const { voters, learners } = status.membership;
    return [...voters, ...learners].find((other) => this.#runsInPlaceOf(other, replica, status)) ?? null;
  }

  /**
   * Whether `replica` runs at the address of `former`, which has ended: an address serves one replica, and `replica` was heard there
   * last. What was heard before this leadership doesn't count, as other members may have been silent towards this one alone.
   */
  #runsInPlaceOf(replica: ReplicaId, former: ReplicaId, { self, membership }: RaftStatus): boolean {
    const { addresses } = membership;
    const address = addresses[former];
    if (replica === former || former === self || !address || addresses[replica] !== address) {
      return false;
    }
    const heardAt = this.#lastMessageAt.get(replica) ?? Number.NEGATIVE_INFINITY;
    return replica === self || (heardAt >= this.#leaderSince && heardAt > this.#lastSignOf(former));
  }

  /** When a member was last heard or, if it is a learner, first seen in this leadership if that is later. */
  #lastSignOf(replica: ReplicaId): MonotonicMillis {
    const heardAt = this.#lastMessageAt.get(replica) ?? Number.NEGATIVE_INFINITY;
    return Math.max(heardAt, this.#learnerSince.get(replica) ?? Number.NEGATIVE_INFINITY);
  }
}
