import { expect } from 'chai';
import { ANSWERED, effectsOfType, RouterHarness, service, upstream } from './router-harness.js';

const SHARD_KEYS = ['key0', 'key1', 'key2', 'key3', 'key4', 'key5', 'key6', 'key7'];

/** Starts a keyed service of two shards with one owner that serves one request at a time. */
function startTwoShards(): { harness: RouterHarness; hot: string; cold: string } {
  const keyspaces = [{ name: 'all', kind: 'prefix' as const, match: '', shards: 2 }];
  const record = service('menus', {
    keyed: true,
    keyspaces,
    slotsPerUpstream: 1,
    queueLimit: 400,
    holdLimitMillis: 1000,
  });
  const shards = [0, 1].map((number) => ({
    shard: `menus/all@1/${number}`,
    owner: 'u1',
    incarnation: 'u1-1',
    epoch: 5,
    movingTo: null,
    revision: 5,
  }));
  const harness = new RouterHarness().start([record], [upstream('u1', 'menus')], shards);
  const shardOf = new Map<string, string>();
  for (const key of SHARD_KEYS) {
    const effects = harness.request('menus', { key });
    const [dispatch] = effectsOfType(effects, 'dispatch');
    if (dispatch !== undefined) {
      shardOf.set(key, dispatch.credentials?.shard ?? '');
      harness.ended(dispatch.attempt);
    }
  }
  const hot = SHARD_KEYS.find((key) => shardOf.get(key)?.endsWith('/0')) as string;
  const cold = SHARD_KEYS.find((key) => shardOf.get(key)?.endsWith('/1')) as string;
  return { harness, hot, cold };
}

describe('admission to the queue', () => {
  it('lets a request of a quiet shard wait though the queue of a hot one is long', () => {
    const { harness, hot, cold } = startTwoShards();
    const [first] = effectsOfType(harness.request('menus', { key: hot }), 'dispatch');
    for (let count = 0; count < 150; count += 1) {
      harness.request('menus', { key: hot });
    }
    harness.now += 50;
    harness.ended(first?.attempt as number);
    const effects = harness.request('menus', { key: cold });
    expect(effectsOfType(effects, 'refuse')).to.deep.equal([]);
  });

  it('refuses requests that can no longer be served in time before their hold limit', () => {
    const record = service('board', { slotsPerUpstream: 1, holdLimitMillis: 1000, queueLimit: 100 });
    const harness = new RouterHarness().start([record], [upstream('u1', 'board')]);
    const first = harness.request('board');
    for (let count = 0; count < 60; count += 1) {
      harness.request('board');
    }
    let attempt = effectsOfType(first, 'dispatch')[0]?.attempt as number;
    for (let round = 0; round < 5; round += 1) {
      harness.run(100);
      attempt = effectsOfType(harness.ended(attempt, ANSWERED), 'dispatch')[0]?.attempt as number;
    }
    harness.run(30);
    // Half the limit is over and one is served every 100 ms: about five more can be.
    expect(harness.core.status().queued).to.be.within(3, 8);
    const refused = effectsOfType(harness.effects, 'refuse');
    expect(refused.map(({ reason }) => reason)).to.include('would-miss-deadline');
    expect(
      refused.every(({ outcome, retryAfterMillis }) => outcome === 'not-run' && retryAfterMillis),
    ).to.equal(true);
  });

  it('sets the retry delay of refused callers to the time that the queue takes to drain', () => {
    const record = service('board', { slotsPerUpstream: 1, holdLimitMillis: 1000, queueLimit: 100 });
    const harness = new RouterHarness().start([record], [upstream('u1', 'board')]);
    let attempt = effectsOfType(harness.request('board'), 'dispatch')[0]?.attempt as number;
    for (let count = 0; count < 100; count += 1) {
      harness.request('board');
    }
    for (let round = 0; round < 5; round += 1) {
      harness.run(200);
      attempt = effectsOfType(harness.ended(attempt, ANSWERED), 'dispatch')[0]?.attempt as number;
    }
    while (effectsOfType(harness.request('board'), 'refuse').length === 0) {
      // Fills the queue up to the point where a further request would miss its deadline.
    }
    const [refusal] = effectsOfType(harness.effects, 'refuse').slice(-1);
    expect(refusal?.retryAfterMillis).to.be.within(600, 1800);
  });
});
