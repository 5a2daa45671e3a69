import { expect } from 'chai';
import { evenSample } from '../../src/dev/fleet/observe/owner-loss-probe.js';

describe('evenSample', () => {
  const items = Array.from({ length: 100 }, (_, index) => index);
  const cases = [
    { count: 200, sample: items },
    { count: 100, sample: items },
    { count: 4, sample: [0, 25, 50, 75] },
    { count: 3, sample: [0, 34, 67] },
  ];
  for (const { count, sample } of cases) {
    it(`returns at most ${count} of 100 items`, () => {
      expect(evenSample(items, count)).to.deep.equal(sample);
    });
  }

  it('returns nothing for an empty list', () => {
    expect(evenSample([], 5)).to.deep.equal([]);
  });
});
