import { expect } from 'chai';
import fc from 'fast-check';
import { LoadReporter } from '../../src/routing/load-reporter.js';

const MAX_SHARDS = 65;

function sumOf(loads: readonly { readonly workMillis: number }[]): number {
  return loads.reduce((sum, { workMillis }) => sum + workMillis, 0);
}

describe('load reporter', () => {
  it('reports once per second the work since the last report', () => {
    const reporter = new LoadReporter();
    expect(reporter.takeReport(0)).to.equal(null);
    reporter.add('a', 5);
    reporter.add('a', 7);
    reporter.add('b', 1);
    expect(reporter.takeReport(999)).to.equal(null);
    expect(reporter.takeReport(1000)?.shards).to.deep.equal([
      { shard: 'a', workMillis: 12, requests: 2 },
      { shard: 'b', workMillis: 1, requests: 1 },
    ]);
    expect(reporter.takeReport(2000)?.shards).to.deep.equal([]);
  });

  it('reports a bounded number of shards, whose total differs from the true total by one sample at most', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 10_000 }), { minLength: 1, maxLength: 500 }),
        (loads) => {
          const reporter = new LoadReporter();
          reporter.takeReport(0);
          loads.forEach((workMillis, number) => {
            reporter.add(`k${number}`, workMillis);
          });
          const shards = reporter.takeReport(1000)?.shards ?? [];
          const total = loads.reduce((sum, workMillis) => sum + workMillis, 0);
          expect(shards.length).to.be.at.most(MAX_SHARDS);
          expect(Math.abs(sumOf(shards) - total)).to.be.at.most(total / 64 + 1e-6);
        },
      ),
    );
  });

  it('reports the true load of each light shard over many reports', () => {
    const reporter = new LoadReporter();
    reporter.takeReport(0);
    const reported = new Map<string, number>();
    for (let second = 1; second <= 2000; second += 1) {
      for (let number = 0; number < 301; number += 1) {
        reporter.add(`k${number}`, number < 10 ? 50 : 1);
      }
      for (const { shard, workMillis } of reporter.takeReport(second * 1000)?.shards ?? []) {
        reported.set(shard, (reported.get(shard) ?? 0) + workMillis);
      }
    }
    expect(reported.get('k3')).to.equal(2000 * 50);
    for (let number = 10; number < 301; number += 1) {
      expect(reported.get(`k${number}`), `k${number}`).to.be.closeTo(2000, 200);
    }
  });
});
