/** Loads of single keys: sums over spans, the hottest key, decay, and invalid keys. */
import { expect } from 'chai';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { MAX_KEY } from '../../src/model/key-range.js';
import { KeyLoads } from '../../src/placement/ranges/key-loads.js';

const CLOSE = 1e-6;

describe('key loads', () => {
  it('of a span equal the sum over its keys', () => {
    const random = xoroshiro128plus(7);
    const loads = new KeyLoads();
    const keys = Array.from({ length: 400 }, () => uniformInt(random, 0, MAX_KEY));
    for (const key of [0, MAX_KEY, ...keys]) {
      loads.add(key, uniformInt(random, 1, 500), 0);
    }
    const busy = [...new Set([0, MAX_KEY, ...keys])].sort((one, other) => one - other);
    for (let round = 0; round < 100; round += 1) {
      const [from, to] = [uniformInt(random, 0, MAX_KEY), uniformInt(random, 0, MAX_KEY)].sort(
        (one, other) => one - other,
      ) as [number, number];
      const inside = busy.filter((key) => from <= key && key <= to);
      const sum = inside.reduce((total, key) => total + loads.loadOf(key), 0);
      expect(loads.loadOfSpan({ from, to })).to.be.closeTo(sum, CLOSE);
      const { first, end } = loads.busyKeysIn({ from, to });
      const listed = Array.from({ length: end - first }, (_, place) => loads.busyKeyAt(first + place));
      expect(listed).to.deep.equal(inside);
      const most = Math.max(...inside.map((key) => loads.loadOf(key)));
      const hottest = loads.hottestKeyIn({ from, to });
      expect(hottest === undefined ? Number.NEGATIVE_INFINITY : loads.loadOf(hottest)).to.equal(most);
    }
  });

  it('decay, and a key with a negligible load is forgotten', () => {
    const loads = new KeyLoads(1000);
    loads.add(5, 100, 0);
    loads.add(9, 100, 20_000);
    expect(loads.loadOf(5)).to.equal(0);
    const { first, end } = loads.busyKeysIn({ from: 0, to: MAX_KEY });
    expect(end - first).to.equal(1);
    expect(loads.busyKeyAt(first)).to.equal(9);
  });

  it('ignore invalid keys', () => {
    const loads = new KeyLoads();
    for (const key of [-1, MAX_KEY + 1, 0.5, Number.NaN]) {
      loads.add(key, 100, 0);
    }
    expect(loads.loadOfSpan({ from: 0, to: MAX_KEY })).to.equal(0);
    loads.add(MAX_KEY, 100, 0);
    expect(loads.loadOfSpan({ from: 0, to: MAX_KEY })).to.equal(loads.loadOf(MAX_KEY));
  });
});
