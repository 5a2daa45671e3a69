/** The request of a member that stops as planned: when it is made, and when the stop goes on. */
import { expect } from 'chai';
import type { RaftStatus } from '../../../src/consensus/types.js';
import { releaseVote } from '../../../src/control/daemon/vote-release.js';
import type { ForwardableRequest } from '../../../src/control/forwarded-request.js';
import type { OperatorResponse } from '../../../src/control/types.js';

const MAX_MILLIS = 30;
const UNBOUNDED_MILLIS = 600_000;
const REQUEST: ForwardableRequest = { type: 'release-vote', replica: 'm2' };

function statusOf(leader: string | null, learners: readonly string[] = ['m4']): RaftStatus {
  return {
    self: 'm2',
    role: 'follower',
    term: 1,
    leader,
    commitIndex: 5,
    lastIndex: 5,
    firstIndex: 1,
    membership: { voters: ['m1', 'm2', 'm3'], outgoingVoters: [], learners, addresses: {} },
    matchIndexes: {},
  };
}

describe('the release of a vote in a planned stop', () => {
  let asked: { leader: string; request: ForwardableRequest }[];
  let responses: (OperatorResponse | null)[];
  const forward = async (leader: string, request: ForwardableRequest): Promise<OperatorResponse | null> => {
    asked.push({ leader, request });
    return responses.shift() ?? null;
  };

  beforeEach(() => {
    asked = [];
    responses = [{ type: 'done' }];
  });

  it('is asked of the leader', async () => {
    const outcome = await releaseVote({
      status: () => statusOf('m1'),
      forward,
      maxMillis: UNBOUNDED_MILLIS,
    });
    expect(outcome).to.equal('done');
    expect(asked).to.deep.equal([{ leader: 'm1', request: REQUEST }]);
  });

  it('is not asked for without a spare', async () => {
    const outcome = await releaseVote({
      status: () => statusOf('m1', []),
      forward,
      maxMillis: UNBOUNDED_MILLIS,
    });
    expect(outcome).to.equal('no-spare');
    expect(asked).to.deep.equal([]);
  });

  it('is asked of the next leader once this member, or the one that was asked, leads no more', async () => {
    const leaders = ['m2', null, 'm1', 'm3'];
    responses = [{ type: 'not-leader', leader: null }, { type: 'done' }];
    const status = (): RaftStatus => statusOf(leaders.length > 1 ? (leaders.shift() ?? null) : 'm3');
    const outcome = await releaseVote({ status, forward, maxMillis: UNBOUNDED_MILLIS });
    expect(outcome).to.equal('done');
    expect(asked.map(({ leader }) => leader)).to.deep.equal(['m1', 'm3']);
  });

  // Guards against a stop that is held up by a leader of an earlier release, which answers `unknown`, or by one that is gone.
  it('is asked for once, whatever the leader answers', async () => {
    const refusals: (OperatorResponse | null)[] = [
      { type: 'unknown' },
      { type: 'rejected', message: 'no spare' },
      null,
    ];
    for (const response of refusals) {
      responses = [response];
      await releaseVote({ status: () => statusOf('m1'), forward, maxMillis: UNBOUNDED_MILLIS });
    }
    expect(asked).to.have.length(refusals.length);
  });

  it('ends in time without a leader, or without an answer', async () => {
    const without = await releaseVote({ status: () => statusOf(null), forward, maxMillis: MAX_MILLIS });
    expect(without).to.equal('no-leader');
    const silent = () => new Promise<null>(() => {});
    const outcome = await releaseVote({
      status: () => statusOf('m1'),
      forward: silent,
      maxMillis: MAX_MILLIS,
    });
    expect(outcome).to.equal('no-answer');
  });
});
