/** An answer that another run is at an address proves that the run which announced itself there has ended. */
import { expect } from 'chai';
import type { UpstreamRecord } from '../../src/registry/types.js';
import type { AttemptResult } from '../../src/routing/types.js';
import { ANSWERED, only, RouterHarness, service, upstream } from './router-harness.js';

function announced(id: string, changes = {}): UpstreamRecord {
  return upstream(id, 'web', { announced: { slots: 2, warmupMillis: 0 }, ...changes });
}

/** Sends rounds of six requests side by side; `u1`'s address has another run. Gives who was asked. */
function askedIn(harness: RouterHarness, rounds: number): string[] {
  const asked: string[] = [];
  for (let round = 0; round < rounds; round += 1) {
    let open = [1, 2, 3, 4, 5, 6].flatMap(() => only(harness.request('web'), 'dispatch'));
    while (open.length > 0) {
      asked.push(...open.map(({ upstream }) => upstream));
      open = open.flatMap((sent) => only(harness.ended(sent.attempt, resultOf(sent.upstream)), 'dispatch'));
    }
    harness.advance(10);
  }
  return asked;
}

function resultOf(id: string): AttemptResult {
  return id === 'u1' ? { type: 'refused', refusal: 'other-incarnation', retryAfterMillis: null } : ANSWERED;
}

describe('a run that has ended', () => {
  it('is asked no more once its address answered for another run', () => {
    const harness = new RouterHarness().start([service('web')], [announced('u1'), announced('u2')]);
    const first = askedIn(harness, 1);
    expect(first).to.include('u1');
    expect(askedIn(harness, 10)).not.to.include('u1');
  });

  it('leaves the word of a fence alone: there the same upstream goes on in another run', () => {
    const harness = new RouterHarness().start(
      [service('web')],
      [announced('u1', { announced: undefined }), announced('u2', { announced: undefined })],
    );
    askedIn(harness, 1);
    expect(askedIn(harness, 10)).to.include('u1');
  });
});
