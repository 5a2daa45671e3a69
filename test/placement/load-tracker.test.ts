import { expect } from 'chai';
import { LOAD_HALF_LIFE_MILLIS, LoadTracker } from '../../src/placement/index.js';

/** Reports the same work every second. */
function reportSteadyWork(
  tracker: LoadTracker,
  workMillis: number,
  fromSecond: number,
  seconds: number,
): void {
  for (let second = fromSecond; second < fromSecond + seconds; second += 1) {
    tracker.report([{ shard: 'k', workMillis }], second * 1000);
  }
}

describe('load tracker', () => {
  it('returns the rate of reportSteadyWork work', () => {
    const tracker = new LoadTracker();
    reportSteadyWork(tracker, 200, 1, 60);
    expect(tracker.load('k', 60_000)).to.be.closeTo(200, 10);
  });

  it('adds the reports of several routers', () => {
    const tracker = new LoadTracker();
    reportSteadyWork(tracker, 100, 1, 60);
    const other = new LoadTracker();
    for (let second = 1; second <= 60; second += 1) {
      other.report([{ shard: 'k', workMillis: 100 }], second * 1000);
      other.report([{ shard: 'k', workMillis: 300 }], second * 1000);
    }
    expect(other.load('k', 60_500) / tracker.load('k', 60_500)).to.be.closeTo(4, 1e-6);
  });

  it('halves a load within the half-life after it stopped', () => {
    const tracker = new LoadTracker();
    reportSteadyWork(tracker, 200, 1, 100);
    const before = tracker.load('k', 100_000);
    const after = tracker.load('k', 100_000 + LOAD_HALF_LIFE_MILLIS);
    expect(after / before).to.be.closeTo(0.5, 0.01);
  });

  it('keeps its loads when the scale is reset, and reports all weights as changed', () => {
    const tracker = new LoadTracker();
    reportSteadyWork(tracker, 200, 1, 300);
    tracker.report([{ shard: 'other', workMillis: 50 }], 300_000);
    tracker.takeChanged();
    const before = tracker.load('other', 300_000);
    reportSteadyWork(tracker, 200, 301, 300);
    expect(tracker.load('k', 600_000)).to.be.closeTo(200, 10);
    expect(tracker.load('other', 600_000)).to.be.closeTo(before * 0.5 ** 30, 1e-6);
    expect(tracker.takeChanged().map(({ shard }) => shard)).to.have.members(['k', 'other']);
    expect(tracker.takeChanged()).to.deep.equal([]);
  });

  it('returns the weight that a reportSteadyWork load would have', () => {
    const tracker = new LoadTracker();
    reportSteadyWork(tracker, 200, 1, 60);
    expect(tracker.weightForLoad(200, 60_000) / tracker.weight('k')).to.be.closeTo(1, 0.05);
  });
});
