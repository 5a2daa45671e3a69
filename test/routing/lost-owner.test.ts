import { expect } from 'chai';
import { effectsOfType, onlyShard, RouterHarness, service, upstream } from './router-harness.js';

const HOLD_MILLIS = 1000;
const DEADLINE_MILLIS = 2000;
/** Longer than the transit time of an answer that the old owner sent before it released the shard. */
const GRACE_MILLIS = 100;

function start(changes: Parameters<typeof service>[1] = {}): RouterHarness {
  const record = service('sheets', {
    keyed: true,
    holdLimitMillis: HOLD_MILLIS,
    deadlineMillis: DEADLINE_MILLIS,
    ...changes,
  });
  const upstreams = [upstream('u1', 'sheets'), upstream('u2', 'sheets')];
  return new RouterHarness().start([record], upstreams, [onlyShard('sheets', 'u1', 1)]);
}

function setOwner(harness: RouterHarness, owner: string | null, epoch: number) {
  const record = onlyShard('sheets', owner, epoch);
  return harness.change([{ type: 'shard', shard: record.shard, record }]);
}

describe('an owner lost with requests in flight', () => {
  it('sends a read to the new owner once no answer of the old owner can arrive', () => {
    const harness = start();
    const [first] = effectsOfType(harness.request('sheets', { key: 'k' }), 'dispatch');
    harness.run(500);
    setOwner(harness, 'u2', 7);
    const effects = harness.run(GRACE_MILLIS);
    expect(effectsOfType(effects, 'cancel-attempt')).to.deep.equal([
      { type: 'cancel-attempt', attempt: first?.attempt },
    ]);
    const [second] = effectsOfType(effects, 'dispatch');
    expect(second).to.include({ request: 1, upstream: 'u2' });
    harness.ended(first?.attempt as number, { type: 'cancelled' });
    expect(effectsOfType(harness.ended(second?.attempt as number), 'deliver')).to.have.length(1);
    expect(harness.core.status().inFlight).to.equal(0);
  });

  it('accepts an answer that the old owner sent before the move', () => {
    const harness = start();
    const [first] = effectsOfType(harness.request('sheets', { key: 'k' }), 'dispatch');
    setOwner(harness, 'u2', 7);
    harness.run(2);
    expect(effectsOfType(harness.ended(first?.attempt as number), 'deliver')).to.have.length(1);
  });

  it('answers a non-repeatable request as unknown immediately, and never resends it', () => {
    const harness = start({ repeatable: false });
    const idempotency = { key: 'order-1', issuedAt: harness.wall, fingerprint: 'f' };
    const [claim] = effectsOfType(
      harness.request('sheets', { key: 'k', method: 'POST', idempotency }),
      'send-control',
    );
    const claimant = claim?.message.type === 'claim-request' ? claim.message.claimant : '';
    harness.claimResult(claimant, { type: 'granted' });
    setOwner(harness, 'u2', 7);
    const effects = harness.run(GRACE_MILLIS);
    expect(effectsOfType(effects, 'dispatch')).to.deep.equal([]);
    expect(effectsOfType(effects, 'refuse')[0]).to.include({ outcome: 'unknown', reason: 'upstream-failed' });
  });

  it('holds a read whose attempt broke beyond the hold limit, but not until its deadline', () => {
    const harness = start();
    const [first] = effectsOfType(harness.request('sheets', { key: 'k' }), 'dispatch');
    harness.ended(first?.attempt as number, { type: 'broken' });
    setOwner(harness, null, 1);
    expect(effectsOfType(harness.run(HOLD_MILLIS + 200), 'refuse')).to.deep.equal([]);
    expect(effectsOfType(setOwner(harness, 'u2', 7), 'dispatch')[0]).to.include({ upstream: 'u2' });
    const [second] = effectsOfType(harness.effects, 'dispatch').slice(-1);
    harness.ended(second?.attempt as number, { type: 'broken' });
    setOwner(harness, null, 7);
    const [refusal] = effectsOfType(harness.run(DEADLINE_MILLIS - HOLD_MILLIS - 300), 'refuse');
    expect(refusal).to.include({ outcome: 'unknown', reason: 'no-owner' });
  });

  it('keeps requests that waited for the old owner queued for the new one', () => {
    const harness = start({ slotsPerUpstream: 1, holdLimitMillis: 1900, queueLimit: 40 });
    for (let count = 0; count < 10; count += 1) {
      harness.request('sheets', { key: 'k' });
    }
    harness.run(1000);
    setOwner(harness, 'u2', 7);
    const refused = [...effectsOfType(harness.run(GRACE_MILLIS), 'refuse')];
    for (let round = 0; round < 15; round += 1) {
      const [attempt] = effectsOfType(harness.effects, 'dispatch').slice(-1);
      harness.ended(attempt?.attempt as number);
      refused.push(...effectsOfType(harness.run(10), 'refuse'));
    }
    expect(refused).to.deep.equal([]);
    expect(effectsOfType(harness.effects, 'deliver')).to.have.length(10);
  });

  it('answers not-run to a read that joined after the attempt had broken', () => {
    const harness = start({ coalesce: true });
    const [first] = effectsOfType(harness.request('sheets', { key: 'k' }), 'dispatch');
    harness.ended(first?.attempt as number, { type: 'broken' });
    setOwner(harness, null, 1);
    harness.request('sheets', { key: 'k' });
    const outcomes = effectsOfType(harness.run(DEADLINE_MILLIS), 'refuse').map(({ request, outcome }) => [
      request,
      outcome,
    ]);
    expect(outcomes).to.deep.equal([
      [1, 'unknown'],
      [2, 'not-run'],
    ]);
  });
});
