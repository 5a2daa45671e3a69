import { expect } from 'chai';
import { buildHistory } from '../../../src/dev/fleet/checker/fleet-history.js';
import {
  effectProblems,
  type FaultEffect,
  faultEffects,
  REACTION_MILLIS,
} from '../../../src/dev/fleet/report/fault-effects.js';
import { attempt, run } from '../checker/journal-fixtures.js';

const FROM = 2000;
const LATE = FROM + REACTION_MILLIS + 100;
const fault = { type: 'fail', upstream: 'up-1', from: FROM, to: FROM + 6000 };

describe('faultEffects', () => {
  it('counts answers and runs before the fault, at its start, and later', () => {
    const history = buildHistory([
      ...run({ at: 10 }),
      ...run({ at: FROM + 10 }),
      ...run({ at: LATE, upstream: 'up-2' }),
      ...run({ at: LATE, service: 'other' }),
      attempt({ request: 'a', scheduledAt: 5 }),
      attempt({ request: 'b', scheduledAt: FROM, verdict: 'refused', status: 500 }),
      attempt({ request: 'c', scheduledAt: FROM, verdict: 'refused', last: false }),
      attempt({ request: 'd', scheduledAt: LATE }),
    ]);
    const [effect] = faultEffects(history, [fault], 0);
    expect(effect?.before).to.deep.equal({ requests: 1, answered: 1, goodShare: 1, runShare: 1 });
    expect(effect?.atFirst).to.deep.equal({ requests: 1, answered: 0, goodShare: 0, runShare: 1 });
    expect(effect?.afterReaction).to.deep.equal({ requests: 1, answered: 1, goodShare: 1, runShare: 0 });
  });

  it('omits an upstream that ran no request', () => {
    expect(faultEffects(buildHistory([]), [fault], 0)).to.deep.equal([]);
  });
});

describe('effectProblems', () => {
  const interval = { requests: 100, answered: 100, goodShare: 1, runShare: 0.2 };
  const effect: FaultEffect = {
    type: 'fail',
    upstream: 'up-1',
    service: 'menuboard',
    before: interval,
    atFirst: { ...interval, answered: 10, goodShare: 0.1 },
    afterReaction: interval,
  };

  function problemsOf(type: string, afterReaction: object): string[] {
    return effectProblems([{ ...effect, type, afterReaction: { ...interval, ...afterReaction } }]);
  }

  it('ignores the time in which routers react', () => {
    expect(effectProblems([effect])).to.deep.equal([]);
  });

  it("finds a bad upstream that routers don't avoid", () => {
    expect(problemsOf('fail', { answered: 89, goodShare: 0.89 })).to.have.length(1);
  });

  it('finds a good upstream that gets no requests because of a hint alone', () => {
    expect(problemsOf('platform-gone', { runShare: 0 })).to.have.length(1);
    expect(problemsOf('fail', { runShare: 0 })).to.deep.equal([]);
  });
});
