import { expect } from 'chai';
import { heldDirections } from '../../src/dev/fleet/faults/network-faults.js';

describe('heldDirections', () => {
  const zones = ['a', 'b', 'c'];
  const cases = [
    {
      type: 'cut',
      target: 'a|b',
      held: [
        ['a', 'b'],
        ['b', 'a'],
      ],
    },
    { type: 'half-open', target: 'a>b', held: [['a', 'b']] },
    {
      type: 'isolate',
      target: 'b',
      held: [
        ['b', 'a'],
        ['a', 'b'],
        ['b', 'c'],
        ['c', 'b'],
      ],
    },
  ] as const;
  for (const { type, target, held } of cases) {
    it(`${type} ${target}`, () => {
      expect(heldDirections({ type, target }, zones)).to.deep.equal(held);
    });
  }
});
