/**
 * Logs what keeps a cluster from electing a leader or from recording changes: voters that aren't heard, votes that aren't granted, writes
 * that don't end, and how far new replicas are. Decides nothing.
 */
import { allVoters, hasQuorum } from '../consensus/membership.js';
import type { Membership, RaftStatus } from '../consensus/types.js';
import type { Address, MonotonicMillis, ReplicaId } from '../model/identifiers.js';
import type { WaitingReplica } from './automatic-repair.js';
import type { RaftAdapter } from './raft-adapter.js';

/** Minimum time between two looks, and how long the leader must be missing before it is logged. */
const LOOK_MILLIS = 1000;
/** How long a write may take before it is logged. */
const SLOW_WRITE_MILLIS = 500;

export interface QuorumWatchParts {
  readonly raft: RaftAdapter;
  /** When another replica was last heard; `null`: never. */
  readonly heardAt: (replica: ReplicaId) => MonotonicMillis | null;
  /** Replicas that request to join. */
  readonly joining: (now: MonotonicMillis) => readonly WaitingReplica[];
  readonly log: (
    level: 'info' | 'warn' | 'error',
    event: string,
    fields: Readonly<Record<string, unknown>>,
  ) => void;
}

/** A voter as another member without a leader sees it. */
export interface ObservedVoter {
  readonly replica: ReplicaId;
  readonly address: Address | null;
  /** `null`: not since the start of this process. */
  readonly heardAgoMillis: number | null;
  /** Whether it granted the vote or pre-vote in progress. */
  readonly granted: boolean;
  /** A new replica at its address, which has no vote yet: the voter has lost its disk. `null`: none is known. */
  readonly successor: ReplicaId | null;
}

export class QuorumWatch {
  readonly #parts: QuorumWatchParts;
  #leaderlessSince: MonotonicMillis | null = null;
  #nextLookAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  #membership: Membership | null = null;
  /** When each learner was first seen by this leader. */
  readonly #learnersSince = new Map<ReplicaId, MonotonicMillis>();

  constructor(parts: QuorumWatchParts) {
    this.#parts = parts;
  }

  /** Called after each step of the member; logs at most once per `LOOK_MILLIS`, but for changes of the membership. */
  look(now: MonotonicMillis): void {
    const status = this.#parts.raft.status();
    this.#logMembership(status);
    this.#leaderlessSince = status.leader === null ? (this.#leaderlessSince ?? now) : null;
    if (now < this.#nextLookAt) {
      return;
    }
    this.#nextLookAt = now + LOOK_MILLIS;
    this.#logMissingLeader(status, now);
    this.#logSlowWrite(status, now);
    this.#logLearners(status, now);
  }

  #logMembership({ membership, role, term, lastIndex }: RaftStatus): void {
    if (membership === this.#membership) {
      return;
    }
    this.#membership = membership;
    const { voters, outgoingVoters, learners, addresses } = membership;
    const fields = { role, term, lastIndex, voters, outgoingVoters, learners, addresses };
    this.#parts.log('info', 'membership-changed', fields);
  }

  #logMissingLeader(status: RaftStatus, now: MonotonicMillis): void {
    const since = this.#leaderlessSince;
    if (since === null || now - since < LOOK_MILLIS) {
      return;
    }
    const { role, term, membership, lastIndex, commitIndex } = status;
    const { votes, writeSince } = this.#parts.raft.details();
    const voters = this.#observeVoters(status, votes ?? [], now);
    this.#logLostMajority(membership, voters);
    this.#parts.log('warn', 'no-leader', {
      role,
      term,
      forMillis: Math.round(now - since),
      isVoter: allVoters(membership).includes(status.self),
      voters,
      outgoingVoters: membership.outgoingVoters,
      learners: membership.learners,
      lastIndex,
      commitIndex,
      writeMillis: ageOf(writeSince, now),
    });
  }

  /** Logs if so many voters have lost their disks that those left can't elect a leader any more. */
  #logLostMajority(membership: Membership, voters: readonly ObservedVoter[]): void {
    const lost = voters.filter(({ successor }) => successor !== null).map(({ replica }) => replica);
    const canElect = hasQuorum(membership, (replica) => !lost.includes(replica));
    if (voters.length > 0 && !canElect) {
      this.#parts.log('error', 'majority-lost', { voters: membership.voters, lost });
    }
  }

  #observeVoters(
    { self, membership }: RaftStatus,
    votes: readonly ReplicaId[],
    now: MonotonicMillis,
  ): ObservedVoter[] {
    const { learners, addresses } = membership;
    const successors = [
      ...learners.map((replica) => ({ replica, address: addresses[replica] })),
      ...this.#parts.joining(now),
    ];
    return allVoters(membership).map((replica) => {
      const address = membership.addresses[replica] ?? null;
      return {
        replica,
        address,
        heardAgoMillis: replica === self ? 0 : ageOf(this.#parts.heardAt(replica), now),
        granted: votes.includes(replica),
        successor: successors.find((successor) => successor.address === address)?.replica ?? null,
      };
    });
  }

  #logSlowWrite({ role, term, lastIndex, commitIndex }: RaftStatus, now: MonotonicMillis): void {
    const writeMillis = ageOf(this.#parts.raft.details().writeSince, now);
    if (writeMillis !== null && writeMillis >= SLOW_WRITE_MILLIS) {
      this.#parts.log('warn', 'write-outstanding', { role, term, lastIndex, commitIndex, writeMillis });
    }
  }

  #logLearners({ role, membership, commitIndex }: RaftStatus, now: MonotonicMillis): void {
    const learners = role === 'leader' ? membership.learners : [];
    for (const replica of [...this.#learnersSince.keys()]) {
      if (!learners.includes(replica)) {
        this.#learnersSince.delete(replica);
      }
    }
    const { members } = this.#parts.raft.details();
    for (const { replica, state, matchIndex, snapshotBytes } of members) {
      if (!learners.includes(replica)) {
        continue;
      }
      const since = this.#learnersSince.get(replica) ?? now;
      this.#learnersSince.set(replica, since);
      this.#parts.log('info', 'replica-progress', {
        replica,
        address: membership.addresses[replica] ?? null,
        state,
        matchIndex,
        commitIndex,
        snapshotBytes,
        heardAgoMillis: ageOf(this.#parts.heardAt(replica), now),
        forMillis: Math.round(now - since),
      });
    }
  }
}

function ageOf(at: MonotonicMillis | null, now: MonotonicMillis): number | null {
  return at === null ? null : Math.round(now - at);
}
