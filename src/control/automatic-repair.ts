/**
 * What the leader does by itself for its own cluster: it takes waiting replicas in as spare learners, and puts a spare
 * that holds everything in the place of a voter that was silent for long.
 */
import type { RaftStatus } from '../consensus/types.js';
import type { Address, MonotonicMillis, ReplicaId } from '../model/identifiers.js';

/** A waiting replica that didn't ask again for this long is forgotten. */
export const WAITING_REPLICA_MILLIS = 5000;

/** A replica that asked to be taken in. */
export interface WaitingReplica {
  readonly replica: ReplicaId;
  readonly address: Address;
}

/** A step that the leader takes by itself. */
export type Repair =
  | ({ readonly type: 'take-in' } & WaitingReplica)
  /** A spare gets a vote beside the others. */
  | { readonly type: 'add'; readonly newReplica: ReplicaId; readonly address: Address }
  | {
      readonly type: 'replace';
      readonly oldReplica: ReplicaId;
      readonly newReplica: ReplicaId;
      readonly address: Address;
    };

interface AskedWaitingReplica extends WaitingReplica {
  readonly askedAt: MonotonicMillis;
}

export class AutomaticRepair {
  readonly #waiting = new Map<ReplicaId, AskedWaitingReplica>();
  readonly #heardAt = new Map<ReplicaId, MonotonicMillis>();
  #leadsSince: MonotonicMillis = Number.POSITIVE_INFINITY;

  /**
   * `replaceAfterMillis`: how long a voter may be silent; 0: nothing is done. `mostVoters`: spares get a vote beside the
   * others up to this number.
   */
  constructor(
    private readonly replaceAfterMillis: number,
    private readonly mostVoters = 0,
  ) {}

  heard(replica: ReplicaId, now: MonotonicMillis): void {
    this.#heardAt.set(replica, now);
  }

  asked(replica: ReplicaId, address: Address, now: MonotonicMillis): void {
    this.#waiting.set(replica, { replica, address, askedAt: now });
  }

  roleChanged(leads: boolean, now: MonotonicMillis): void {
    this.#leadsSince = leads ? Math.min(this.#leadsSince, now) : Number.POSITIVE_INFINITY;
  }

  /** Replicas that ask to be taken in and aren't members. */
  waiting({ membership }: RaftStatus, now: MonotonicMillis): readonly WaitingReplica[] {
    for (const { replica, askedAt } of this.#waiting.values()) {
      if (membership.addresses[replica] !== undefined || now - askedAt > WAITING_REPLICA_MILLIS) {
        this.#waiting.delete(replica);
      }
    }
    return [...this.#waiting.values()].map(({ replica, address }) => ({ replica, address }));
  }

  /** How long the leader hasn't heard of another member. */
  silentMillis(replica: ReplicaId, now: MonotonicMillis): number {
    return Math.max(0, now - Math.max(this.#heardAt.get(replica) ?? 0, this.#leadsSince));
  }

  /** The next step, if one is due. For the leader only. */
  next(status: RaftStatus, now: MonotonicMillis): Repair | null {
    if (this.replaceAfterMillis <= 0) {
      return null;
    }
    const [waiting] = this.waiting(status, now);
    return waiting === undefined ? this.#replacement(status, now) : { type: 'take-in', ...waiting };
  }

  #replacement(status: RaftStatus, now: MonotonicMillis): Repair | null {
    const { membership, matchIndexes, commitIndex, self } = status;
    const isSilent = (replica: ReplicaId): boolean =>
      this.silentMillis(replica, now) >= this.replaceAfterMillis;
    const newReplica = membership.learners.find(
      (learner) => !isSilent(learner) && (matchIndexes[learner] ?? 0) >= commitIndex,
    );
    if (newReplica === undefined) {
      return null;
    }
    const address = membership.addresses[newReplica] ?? '';
    // An address serves one replica: where a new one is, the one before has lost its disk.
    const isGone = (voter: ReplicaId): boolean => isSilent(voter) || membership.addresses[voter] === address;
    const oldReplica = membership.voters.find((voter) => voter !== self && isGone(voter));
    if (oldReplica === undefined) {
      const mayGrow = membership.voters.length < this.mostVoters;
      return mayGrow ? { type: 'add', newReplica, address } : null;
    }
    return { type: 'replace', oldReplica, newReplica, address };
  }
}
