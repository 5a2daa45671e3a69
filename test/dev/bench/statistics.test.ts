import { expect } from 'chai';
import { fitLine, quantile, spreadOf } from '../../../src/dev/bench/statistics.js';

describe('bench statistics', () => {
  const cases = [
    { values: [], share: 0.5, expected: 0 },
    { values: [3], share: 0.99, expected: 3 },
    { values: [4, 1, 3, 2], share: 0.5, expected: 2 },
    { values: [1, 2, 3, 4], share: 1, expected: 4 },
  ];
  for (const { values, share, expected } of cases) {
    it(`quantile ${share} of [${values}] is ${expected}`, () => {
      expect(quantile(values, share)).to.equal(expected);
    });
  }

  it('returns median and range', () => {
    expect(spreadOf([5, 1, 9])).to.deep.equal({ median: 5, lowest: 1, highest: 9, runs: 3 });
  });

  it('fits a line', () => {
    const points = [1, 2, 3].map((x) => ({ x, y: 2 * x + 1 }));
    const fit = fitLine(points);
    expect(fit.slope).to.be.closeTo(2, 1e-9);
    expect(fit.intercept).to.be.closeTo(1, 1e-9);
    expect(fit.determination).to.be.closeTo(1, 1e-9);
  });
});
