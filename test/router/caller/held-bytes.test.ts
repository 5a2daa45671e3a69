/** Which waiters are woken when buffered bytes are released. */
import { expect } from 'chai';
import { HeldBytes } from '../../../src/router/caller/held-bytes.js';

const KIB = 1024;

describe('bytes buffered for callers', () => {
  it('wake the next waiter when the first finds no capacity', () => {
    const held = new HeldBytes({ heldAnswerBytes: 1024 * KIB, heldBytesPerConnection: 1024 * KIB });
    held.change(1024 * KIB);
    const woken: string[] = [];
    const large = (): void => {
      woken.push('large');
      held.waitForRelease(large);
    };
    held.waitForRelease(large);
    held.waitForRelease(() => void woken.push('small'));
    held.change(-32 * KIB);
    expect(woken).to.deep.equal(['large', 'small']);
  });
});
