/** Lets a spare have the vote of a member that stops as planned, so that the next loss leaves a majority. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { RaftStatus } from '../../consensus/types.js';
import type { ReplicaId } from '../../model/identifiers.js';
import type { ForwardableRequest } from '../forwarded-request.js';
import type { OperatorResponse } from '../types.js';

/** Between two looks for a leader. */
const LEADER_LOOK_MILLIS = 10;

export interface VoteReleaseParts {
  readonly status: () => RaftStatus;
  /** Passes a request to the leader; `null`: no response in time. */
  readonly forward: (leader: ReplicaId, request: ForwardableRequest) => Promise<OperatorResponse | null>;
  /** Longest time that the stop may wait for the leader. */
  readonly maxMillis: number;
}

/** `no-spare`: there was nothing to ask for. `no-leader`: none was known, or another one each time, until the end. */
export type VoteReleaseOutcome = 'no-spare' | 'no-leader' | 'no-answer' | OperatorResponse['type'];

/** Asks the leader to have a spare vote in place of this replica, until it has answered or the time is up. */
export async function releaseVote({
  status,
  forward,
  maxMillis,
}: VoteReleaseParts): Promise<VoteReleaseOutcome> {
  const { self, membership } = status();
  if (membership.learners.length === 0) {
    return 'no-spare';
  }
  const end = new AbortController();
  const isOver = sleep(maxMillis, null, { signal: end.signal }).catch(() => null);
  let isWaiting = true;
  void isOver.then(() => {
    isWaiting = false;
  });
  try {
    while (isWaiting) {
      const { leader } = status();
      if (leader !== null && leader !== self) {
        const response = await Promise.race([
          forward(leader, { type: 'release-vote', replica: self }),
          isOver,
        ]);
        if (response?.type !== 'not-leader') {
          return response?.type ?? 'no-answer';
        }
      }
      await Promise.race([sleep(LEADER_LOOK_MILLIS), isOver]);
    }
    return 'no-leader';
  } finally {
    end.abort();
  }
}
