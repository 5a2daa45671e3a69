/** Relative speeds of upstreams, from the work of their requests. */
import { expect } from 'chai';
import { OwnerSpeeds } from '../../src/placement/ranges/owner-speeds.js';

function speedsAfter(millisByOwner: Readonly<Record<string, number>>, requests: number): OwnerSpeeds {
  const speeds = new OwnerSpeeds();
  for (let second = 0; second < 10; second += 1) {
    for (const [owner, millis] of Object.entries(millisByOwner)) {
      speeds.add(owner, requests, requests * millis, second * 1000);
    }
  }
  return speeds;
}

describe('owner speeds', () => {
  it('are factors on the mean', () => {
    const speeds = speedsAfter({ slow: 150, usual: 90, fast: 60 }, 20);
    expect(speeds.meanMillis).to.be.closeTo(100, 1);
    expect(speeds.speedOf('slow')).to.be.closeTo(0.67, 0.03);
    expect(speeds.speedOf('fast')).to.be.closeTo(1.67, 0.1);
  });

  it('stay near the mean while little or nothing was speedsAfter', () => {
    const speeds = speedsAfter({ usual: 90 }, 20);
    expect(speeds.speedOf('new')).to.equal(1);
    speeds.add('new', 1, 900, 9000);
    expect(speeds.speedOf('new')).to.be.within(0.4, 1);
    expect(new OwnerSpeeds().speedOf('any')).to.equal(1);
    expect(new OwnerSpeeds().meanMillis).to.equal(null);
  });

  it('follow an upstream that becomes slow, within seconds', () => {
    const speeds = speedsAfter({ one: 90, other: 90, third: 90, fourth: 90 }, 10);
    for (let second = 10; second < 14; second += 1) {
      speeds.add('one', 10, 4500, second * 1000);
      speeds.add('other', 10, 900, second * 1000);
      speeds.add('third', 10, 900, second * 1000);
      speeds.add('fourth', 10, 900, second * 1000);
    }
    expect(speeds.speedOf('one')).to.be.below(0.6);
    expect(speeds.speedOf('other')).to.be.above(1.2);
  });

  it('are forgotten with their upstreams', () => {
    const speeds = speedsAfter({ slow: 150, usual: 90 }, 20);
    speeds.keepOnly(new Set(['usual']));
    expect(speeds.speedOf('slow')).to.equal(1);
  });
});
