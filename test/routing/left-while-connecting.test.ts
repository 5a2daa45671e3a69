/** Callers that leave while a connection to their upstream is being opened say nothing about the upstream, unless it took long. */
import { expect } from 'chai';
import type { AttemptResult } from '../../src/routing/types.js';
import { effectsOfType, RouterHarness, service, upstream } from './router-harness.js';

const LEAVING_CALLERS = 6;
const LEFT: AttemptResult = { type: 'connect-failed', cancelled: true };
const LONG_MILLIS = 600;

/** Lets callers leave so long after their request came, and returns how often an upstream was ejected for that. */
function ejectionsBy(result: AttemptResult, afterMillis: number): number {
  const harness = new RouterHarness().start(
    [service('board')],
    [upstream('u1', 'board'), upstream('u2', 'board')],
  );
  for (let request = 1; request <= LEAVING_CALLERS; request += 1) {
    const [dispatch] = effectsOfType(harness.request('board'), 'dispatch');
    harness.run(afterMillis);
    harness.step({ type: 'request-cancelled', request });
    harness.ended(dispatch?.attempt as number, result);
  }
  return effectsOfType(harness.effects, 'log').filter(({ event }) => event === 'upstream-ejected').length;
}

describe('callers that leave while a connection is being opened', () => {
  // Guards against sound upstreams that are ejected, with the requests they work on broken off, since callers left at once.
  it('do not count against the upstream', () => {
    expect(ejectionsBy(LEFT, 5)).to.equal(0);
  });

  it('count if the connection took as long as a slow request', () => {
    expect(ejectionsBy(LEFT, LONG_MILLIS)).to.be.above(0);
  });

  it('do not hide that the connection was refused', () => {
    expect(ejectionsBy({ type: 'connect-failed', refused: true }, 5)).to.be.above(0);
  });
});
