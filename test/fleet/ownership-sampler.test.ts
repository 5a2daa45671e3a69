import { expect } from 'chai';
import { countOwnerChanges } from '../../src/dev/fleet/observe/ownership-sampler.js';

function sample(owners: Readonly<Record<string, string>>) {
  return { at: 0, shards: 2, owners: new Map(Object.entries(owners)) };
}

describe('countOwnerChanges', () => {
  it('counts a new owner, but not a first one, an unchanged one, or the same one after a gap', () => {
    const samples = [
      sample({ a: 'up-1' }),
      sample({ a: 'up-1', b: 'up-2' }),
      sample({ b: 'up-3' }),
      sample({ a: 'up-1', b: 'up-3' }),
      sample({ a: 'up-2', b: 'up-3' }),
    ];
    expect(countOwnerChanges(samples)).to.equal(2);
  });
});
