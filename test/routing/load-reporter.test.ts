import { expect } from 'chai';
import fc from 'fast-check';
import { LoadReporter } from '../../src/routing/load-reporter.js';

const LIMIT = 65;

function sumOf(works: readonly { readonly workMillis: number }[]): number {
  return works.reduce((sum, { workMillis }) => sum + workMillis, 0);
}

describe('load reporter', () => {
  it('reports once a second what was worked on since', () => {
    const reporter = new LoadReporter();
    expect(reporter.take(0)).to.equal(null);
    reporter.add('a', 5);
    reporter.add('a', 7);
    reporter.add('b', 1);
    expect(reporter.take(999)).to.equal(null);
    expect(reporter.take(1000)?.shards).to.deep.equal([
      { shard: 'a', workMillis: 12, requests: 2 },
      { shard: 'b', workMillis: 1, requests: 1 },
    ]);
    expect(reporter.take(2000)?.shards).to.deep.equal([]);
  });

  it('names a bounded number of shards, whose work adds up to that of all but one sample', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 10_000 }), { minLength: 1, maxLength: 500 }),
        (works) => {
          const reporter = new LoadReporter();
          reporter.take(0);
          works.forEach((work, number) => {
            reporter.add(`k${number}`, work);
          });
          const shards = reporter.take(1000)?.shards ?? [];
          const total = works.reduce((sum, work) => sum + work, 0);
          expect(shards.length).to.be.at.most(LIMIT);
          expect(Math.abs(sumOf(shards) - total)).to.be.at.most(total / 64 + 1e-6);
        },
      ),
    );
  });

  it('gives each light shard its share over many reports', () => {
    const reporter = new LoadReporter();
    reporter.take(0);
    const reported = new Map<string, number>();
    for (let second = 1; second <= 2000; second += 1) {
      for (let number = 0; number < 301; number += 1) {
        reporter.add(`k${number}`, number < 10 ? 50 : 1);
      }
      for (const { shard, workMillis } of reporter.take(second * 1000)?.shards ?? []) {
        reported.set(shard, (reported.get(shard) ?? 0) + workMillis);
      }
    }
    expect(reported.get('k3')).to.equal(2000 * 50);
    for (let number = 10; number < 301; number += 1) {
      expect(reported.get(`k${number}`), `k${number}`).to.be.closeTo(2000, 200);
    }
  });
});
