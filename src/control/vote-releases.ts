/** Requests of replicas that stop as planned to have a spare vote in their place; for the leader. */
import { allVoters } from '../consensus/membership.js';
import type { RaftStatus } from '../consensus/types.js';
import type { MonotonicMillis, ReplicaId, Revision } from '../model/identifiers.js';
import type { AutomaticRepair } from './automatic-repair.js';
import type { RaftAdapter } from './raft-adapter.js';
import type { OperationId, OperatorResponse } from './types.js';

/** How long a stopping replica waits for a spare that isn't caught up; less than a member waits for a forwarded response. */
export const VOTE_RELEASE_MILLIS = 500;

export interface VoteReleasesParts {
  readonly raft: RaftAdapter;
  readonly repair: AutomaticRepair;
  readonly answer: (operation: OperationId, response: OperatorResponse) => void;
}

interface VoteRelease {
  readonly operation: OperationId;
  readonly replica: ReplicaId;
  readonly deadline: MonotonicMillis;
  /** Index that must be committed before the vote counts as released; `null`: the replica still votes. */
  finalIndex: Revision | null;
}

export class VoteReleases {
  #releases: VoteRelease[] = [];

  constructor(private readonly parts: VoteReleasesParts) {}

  get areWaiting(): boolean {
    return this.#releases.length > 0;
  }

  nextDeadline(): MonotonicMillis {
    return Math.min(Number.POSITIVE_INFINITY, ...this.#releases.map(({ deadline }) => deadline));
  }

  begin(operation: OperationId, replica: ReplicaId, now: MonotonicMillis): void {
    const { raft, repair, answer } = this.parts;
    if (replica === raft.status().self) {
      answer(operation, { type: 'rejected', message: 'the leader must hand over its leadership first' });
      return;
    }
    repair.onLeave(replica, now);
    const deadline = now + VOTE_RELEASE_MILLIS;
    this.#releases.push({ operation, replica, deadline, finalIndex: null });
  }

  /** The next leader is to be asked. */
  abandon(): void {
    const { raft, answer } = this.parts;
    for (const { operation } of this.#releases) {
      answer(operation, { type: 'not-leader', leader: raft.leaderAddress() });
    }
    this.#releases = [];
  }

  /** Answers the requests whose vote was released, or won't be in time. `isChangingVoters`: a change of voters is under way. */
  run(isChangingVoters: boolean, now: MonotonicMillis): void {
    const status = this.parts.raft.status();
    this.#releases = this.#releases.filter((release) => {
      const response = this.#responseTo(release, status, isChangingVoters, now);
      if (response !== null) {
        this.parts.answer(release.operation, response);
      }
      return response === null;
    });
  }

  #responseTo(
    release: VoteRelease,
    status: RaftStatus,
    isChangingVoters: boolean,
    now: MonotonicMillis,
  ): OperatorResponse | null {
    if (!allVoters(status.membership).includes(release.replica)) {
      release.finalIndex ??= status.lastIndex;
      if (status.commitIndex >= release.finalIndex) {
        return { type: 'done' };
      }
    } else if (!isChangingVoters && !this.parts.repair.hasSpare(status, now)) {
      return { type: 'rejected', message: 'there is no spare' };
    }
    return now < release.deadline ? null : { type: 'rejected', message: 'no spare got the vote in time' };
  }
}
