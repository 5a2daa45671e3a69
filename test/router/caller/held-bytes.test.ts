/** Who is woken when bytes of answers are released. */
import { expect } from 'chai';
import { HeldBytes } from '../../../src/router/caller/held-bytes.js';

const KIB = 1024;

describe('bytes held for callers', () => {
  it('wake the next one when the first that waited finds no room', () => {
    const held = new HeldBytes({ heldAnswerBytes: 1024 * KIB, heldBytesPerConnection: 1024 * KIB });
    held.change(1024 * KIB);
    const woken: string[] = [];
    const large = (): void => {
      woken.push('large');
      held.whenReleased(large);
    };
    held.whenReleased(large);
    held.whenReleased(() => void woken.push('small'));
    held.change(-32 * KIB);
    expect(woken).to.deep.equal(['large', 'small']);
  });
});
