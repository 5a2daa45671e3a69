import { expect } from 'chai';
import { LOAD_HALF_LIFE_MILLIS, LoadTracker } from '../../src/placement/index.js';

describe('load tracker', () => {
  it('gives the rate of steady work, from the first second on', () => {
    const tracker = new LoadTracker();
    for (let second = 1; second <= 60; second += 1) {
      tracker.report([{ shard: 'k', workMillis: 200 }], second * 1000);
    }
    expect(tracker.load('k', 60_000)).to.be.closeTo(200, 10);
  });

  it('adds the reports of several routers', () => {
    const tracker = new LoadTracker();
    for (let second = 1; second <= 60; second += 1) {
      tracker.report([{ shard: 'k', workMillis: 100 }], second * 1000);
      tracker.report([{ shard: 'k', workMillis: 300 }], second * 1000 + 500);
    }
    expect(tracker.load('k', 60_500)).to.be.closeTo(400, 20);
  });

  it('halves a load that stopped within the half-life', () => {
    const tracker = new LoadTracker();
    for (let second = 1; second <= 100; second += 1) {
      tracker.report([{ shard: 'k', workMillis: 200 }], second * 1000);
    }
    const before = tracker.load('k', 100_000);
    const after = tracker.load('k', 100_000 + LOAD_HALF_LIFE_MILLIS);
    expect(after / before).to.be.closeTo(0.5, 0.01);
  });

  it('gives a faded load as 0 once and then forgets it', () => {
    const tracker = new LoadTracker();
    tracker.report([{ shard: 'k', workMillis: 1 }], 0);
    const later = 100 * LOAD_HALF_LIFE_MILLIS;
    expect([...tracker.loads(later)]).to.deep.equal([{ shard: 'k', load: 0 }]);
    expect([...tracker.loads(later)]).to.deep.equal([]);
  });
});
