/** Turns of other zones that couldn't be taken. */
import { expect } from 'chai';
import { Random } from '../../src/routing/random.js';
import { SpillTurns } from '../../src/routing/zones/spill-turns.js';

describe('turns of other zones', () => {
  it('that nobody could take for long are not made up for at once', () => {
    const turns = new SpillTurns();
    const random = new Random(1);
    const parts = [{ zone: 'b', share: 0.2 }];
    for (let count = 0; count < 1000; count += 1) {
      turns.next(parts, random);
    }
    let inARow = 0;
    while (turns.next(parts, random) === 'b' && inARow < 100) {
      turns.sent('b');
      inARow += 1;
    }
    expect(inARow).to.be.at.most(3);
  });
});
