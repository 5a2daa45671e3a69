/** Credits of other zones while no upstream there is reachable. */
import { expect } from 'chai';
import { Random } from '../../src/routing/random.js';
import { SpillTurns } from '../../src/routing/zones/spill-turns.js';

describe('spill credits of other zones', () => {
  it('don’t cause a burst after they were unused for long', () => {
    const credits = new SpillTurns();
    const random = new Random(1);
    const parts = [{ zone: 'b', share: 0.2 }];
    for (let count = 0; count < 1000; count += 1) {
      credits.next(parts, random);
    }
    let inARow = 0;
    while (credits.next(parts, random) === 'b' && inARow < 100) {
      credits.sent('b');
      inARow += 1;
    }
    expect(inARow).to.be.at.most(3);
  });
});
