/**
 * Automatic membership changes by the leader: it adds waiting replicas as spare learners, and replaces a voter that was silent
 * for too long by a spare that is caught up.
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
    };

interface TimedWaitingReplica extends WaitingReplica {
  readonly requestedAt: MonotonicMillis;
}

export class AutomaticRepair {
  readonly #waiting = new Map<ReplicaId, TimedWaitingReplica>();
  readonly #lastMessageAt = new Map<ReplicaId, MonotonicMillis>();
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

  /** Returns the next change that is due, or `null`. For the leader only. `caughtUp`: members that are close enough to it to vote. */
  next(status: RaftStatus, caughtUp: readonly ReplicaId[], now: MonotonicMillis): Repair | null {
    if (this.replaceAfterMillis <= 0) {
      return null;
    }
    const [waiting] = this.waiting(status, now);
    return waiting === undefined ? this.#replacement(status, caughtUp, now) : { type: 'take-in', ...waiting };
  }

  #replacement(status: RaftStatus, caughtUp: readonly ReplicaId[], now: MonotonicMillis): Repair | null {
    const { membership, self } = status;
    const isSilent = (replica: ReplicaId): boolean =>
      this.silentMillis(replica, now) >= this.replaceAfterMillis;
    const newReplica = membership.learners.find(
      (learner) => !isSilent(learner) && caughtUp.includes(learner),
    );
    if (newReplica === undefined) {
      return null;
    }
    const address = membership.addresses[newReplica] ?? '';
    // An address serves one replica: if a new replica runs there, the previous one has lost its disk.
    const isGone = (voter: ReplicaId): boolean => isSilent(voter) || membership.addresses[voter] === address;
    const oldReplica = membership.voters.find((voter) => voter !== self && isGone(voter));
    if (oldReplica === undefined) {
      const canGrow = membership.voters.length < this.maxVoters;
      return canGrow ? { type: 'add', newReplica, address } : null;
    }
    return { type: 'replace', oldReplica, newReplica, address };
  }
}
