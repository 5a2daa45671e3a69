/** Since when a load counts as uneven. */
import { expect } from 'chai';
import { ImbalanceWatch } from '../../src/control/imbalance-watch.js';
import type { LoadSpread } from '../../src/placement/index.js';

const UNEVEN: LoadSpread = { most: 40, mean: 20, hottest: 10 };
const EVEN: LoadSpread = { most: 24, mean: 20, hottest: 10 };

/** Looks at one spread a second and tells what is measured at the last look. */
function watched(spreads: readonly (LoadSpread | null)[], isWatched = true) {
  const watch = new ImbalanceWatch();
  spreads.forEach((spread, second) => {
    watch.look(spread, isWatched, second * 1000);
  });
  return watch.measure((spreads.length - 1) * 1000);
}

describe('imbalance of a service', () => {
  it('is the largest load against the mean and against the lower bound', () => {
    const spread = { most: 60, mean: 20, hottest: 50 };
    expect(watched([spread])).to.include({ imbalance: 3, imbalanceOverBound: 1.2 });
  });

  it('counts as uneven from the first of the looks that agree', () => {
    expect(watched([EVEN, UNEVEN, UNEVEN, UNEVEN]).imbalancedSinceMillis).to.equal(2000);
    expect(watched([UNEVEN, EVEN, UNEVEN]).imbalancedSinceMillis).to.equal(0);
    expect(watched([UNEVEN, UNEVEN, EVEN]).imbalancedSinceMillis).to.equal(null);
  });

  it('is no fault that whole shards make necessary', () => {
    // Five equal shards on four upstreams, and a hot shard beside others.
    expect(watched([{ most: 2, mean: 1.25, hottest: 1 }]).imbalancedSinceMillis).to.equal(null);
    expect(watched([{ most: 60, mean: 20, hottest: 50 }]).imbalancedSinceMillis).to.equal(null);
    expect(watched([{ most: 3, mean: 1.25, hottest: 1 }]).imbalancedSinceMillis).to.equal(0);
  });

  it('is no fault of a service that asks for no balance', () => {
    expect(watched([UNEVEN, UNEVEN], false)).to.include({ imbalance: 2, imbalancedSinceMillis: null });
  });

  it('is not known without load, nor once no load was taken for a while; then the time starts over', () => {
    const unknown = { imbalance: null, imbalanceOverBound: null, imbalancedSinceMillis: null };
    expect(watched([UNEVEN, null])).to.deep.equal(unknown);
    const watch = new ImbalanceWatch();
    watch.look(UNEVEN, true, 0);
    expect(watch.measure(10_000).imbalancedSinceMillis).to.equal(10_000);
    expect(watch.measure(10_001)).to.deep.equal(unknown);
    watch.look(UNEVEN, true, 20_000);
    expect(watch.measure(20_500).imbalancedSinceMillis).to.equal(500);
  });
});
