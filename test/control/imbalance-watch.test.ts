/** How long a load counts as imbalanced. */
import { expect } from 'chai';
import { ImbalanceWatch } from '../../src/control/imbalance-watch.js';
import type { LoadSpread } from '../../src/placement/index.js';

const UNEVEN: LoadSpread = { most: 40, mean: 20, hottest: 10 };
const EVEN: LoadSpread = { most: 24, mean: 20, hottest: 10 };

/** Passes one spread per second to a watch and returns its measurement at the last one. */
function measureAfter(spreads: readonly (LoadSpread | null)[], requiresBalance = true) {
  const watch = new ImbalanceWatch();
  spreads.forEach((spread, second) => {
    watch.look(spread, requiresBalance, second * 1000);
  });
  return watch.measure((spreads.length - 1) * 1000);
}

describe('imbalance of a service', () => {
  it('is the largest load against the mean and against the lower bound', () => {
    const spread = { most: 60, mean: 20, hottest: 50 };
    expect(measureAfter([spread])).to.include({ imbalance: 3, imbalanceOverBound: 1.2 });
  });

  it('counts from the first of the consecutive imbalanced spreads', () => {
    expect(measureAfter([EVEN, UNEVEN, UNEVEN, UNEVEN]).imbalancedSinceMillis).to.equal(2000);
    expect(measureAfter([UNEVEN, EVEN, UNEVEN]).imbalancedSinceMillis).to.equal(0);
    expect(measureAfter([UNEVEN, UNEVEN, EVEN]).imbalancedSinceMillis).to.equal(null);
  });

  it('is not counted if it is unavoidable with whole shards', () => {
    // Five equal shards on four upstreams, and a hot shard beside others.
    expect(measureAfter([{ most: 2, mean: 1.25, hottest: 1 }]).imbalancedSinceMillis).to.equal(null);
    expect(measureAfter([{ most: 60, mean: 20, hottest: 50 }]).imbalancedSinceMillis).to.equal(null);
    expect(measureAfter([{ most: 3, mean: 1.25, hottest: 1 }]).imbalancedSinceMillis).to.equal(0);
  });

  it('is not counted for a service that requires no balance', () => {
    expect(measureAfter([UNEVEN, UNEVEN], false)).to.include({ imbalance: 2, imbalancedSinceMillis: null });
  });

  it('is unknown without load and without recent loads, after which the time starts over', () => {
    const unknown = { imbalance: null, imbalanceOverBound: null, imbalancedSinceMillis: null };
    expect(measureAfter([UNEVEN, null])).to.deep.equal(unknown);
    const watch = new ImbalanceWatch();
    watch.look(UNEVEN, true, 0);
    expect(watch.measure(10_000).imbalancedSinceMillis).to.equal(10_000);
    expect(watch.measure(10_001)).to.deep.equal(unknown);
    watch.look(UNEVEN, true, 20_000);
    expect(watch.measure(20_500).imbalancedSinceMillis).to.equal(500);
  });
});
