/** A refusal by another run at an address proves that the run which was announced there has ended. */
import { expect } from 'chai';
import type { UpstreamRecord } from '../../src/registry/types.js';
import type { AttemptResult } from '../../src/routing/types.js';
import { ANSWERED, effectsOfType, RouterHarness, service, upstream } from './router-harness.js';

function announced(id: string, changes = {}): UpstreamRecord {
  return upstream(id, 'web', { announced: { slots: 2, warmupMillis: 0 }, ...changes });
}

/** Sends rounds of six concurrent requests while `u1`'s address has another run. Returns the upstreams that received attempts. */
function usedIn(harness: RouterHarness, rounds: number): string[] {
  const used: string[] = [];
  for (let round = 0; round < rounds; round += 1) {
    let pending = [1, 2, 3, 4, 5, 6].flatMap(() => effectsOfType(harness.request('web'), 'dispatch'));
    while (pending.length > 0) {
      used.push(...pending.map(({ upstream }) => upstream));
      pending = pending.flatMap((sent) =>
        effectsOfType(harness.ended(sent.attempt, resultOf(sent.upstream)), 'dispatch'),
      );
    }
    harness.advance(10);
  }
  return used;
}

function resultOf(id: string): AttemptResult {
  return id === 'u1' ? { type: 'refused', refusal: 'other-incarnation', retryAfterMillis: null } : ANSWERED;
}

describe('a run that has ended', () => {
  it('gets no more requests once another run has answered at its address', () => {
    const harness = new RouterHarness().start([service('web')], [announced('u1'), announced('u2')]);
    const first = usedIn(harness, 1);
    expect(first).to.include('u1');
    expect(usedIn(harness, 10)).not.to.include('u1');
  });

  it('does not exclude an upstream with a fence, which continues in another run under the same id', () => {
    const harness = new RouterHarness().start(
      [service('web')],
      [announced('u1', { announced: undefined }), announced('u2', { announced: undefined })],
    );
    usedIn(harness, 1);
    expect(usedIn(harness, 10)).to.include('u1');
  });
});
