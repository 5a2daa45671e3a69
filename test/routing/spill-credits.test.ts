/** Credits of other zones while no upstream there is reachable. */
import { expect } from 'chai';
import { Random } from '../../src/routing/random.js';
import { SpillCredits } from '../../src/routing/zones/spill-credits.js';

describe('spill credits of other zones', () => {
  it('don’t cause a burst after they were unused for long', () => {
    const credits = new SpillCredits();
    const random = new Random(1);
    const parts = [{ zone: 'b', share: 0.2 }];
    for (let count = 0; count < 1000; count += 1) {
      credits.nextZone(parts, random);
    }
    let inARow = 0;
    while (credits.nextZone(parts, random) === 'b' && inARow < 100) {
      credits.sent('b');
      inARow += 1;
    }
    expect(inARow).to.be.at.most(3);
  });
});
