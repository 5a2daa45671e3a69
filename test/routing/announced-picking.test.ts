/** Upstreams that say how many slots they have: what is spent on which, and when requests leave their zone. */
import { expect } from 'chai';
import { UpstreamState } from '../../src/routing/index.js';
import { LeastWorkPicker } from '../../src/routing/picker/least-work-picker.js';
import { Random } from '../../src/routing/random.js';
import { upstream } from './router-harness.js';

function announced(id: string, zone: string, slots = 3): UpstreamState {
  const record = upstream(id, 'pantry', { zone, announced: { slots, warmupMillis: 0 } });
  return new UpstreamState(record, slots, Number.NEGATIVE_INFINITY);
}

function occupy(state: UpstreamState, count: number): void {
  for (let number = 0; number < count; number += 1) {
    state.dispatched();
  }
}

describe('announced upstreams', () => {
  it('cost a turn while a slot is free, and more as work queues', () => {
    const state = announced('u1', 'a');
    const free = state.cost(0);
    occupy(state, 2);
    expect(state.cost(0)).to.be.closeTo(free, free * 0.15);
    occupy(state, 4);
    expect(state.cost(0)).to.be.above(free * 2);
  });

  it('take one more than they have slots before they are asked, and more only if their load is low', () => {
    const state = announced('u1', 'a', 2);
    occupy(state, 2);
    expect(state.hasSlot(0)).to.equal(true);
    occupy(state, 1);
    expect(state.hasSlot(0)).to.equal(false);
    const loaded = announced('u2', 'a', 2);
    occupy(loaded, 1);
    for (let time = 1; time < 400; time += 20) {
      loaded.hintLoad(9, time);
    }
    expect(loaded.hasSlot(400)).to.equal(false);
    expect(announced('u3', 'a', 2).hasSlot(0)).to.equal(true);
  });

  function zoneOfPick(near: UpstreamState, far: UpstreamState, inTimeMillis: number | null = null): string {
    const random = new Random(1);
    const context = { candidates: [near, far], zone: 'a', now: 0, random, inTimeMillis, weigh: () => 1 };
    return new LeastWorkPicker().pick(context).zone;
  }

  it('of the own zone are kept to while they have a free slot, and left once they queue', () => {
    const near = announced('u1', 'a');
    const far = announced('u2', 'b');
    occupy(near, 2);
    expect(zoneOfPick(near, far)).to.equal('a');
    occupy(near, 5);
    expect(zoneOfPick(near, far)).to.equal('b');
  });

  it('of the own zone are kept to, however slow, while they are expected to be in time', () => {
    const near = announced('u1', 'a');
    const far = announced('u2', 'b');
    near.answeredUnhindered(200);
    far.answeredUnhindered(60);
    expect(zoneOfPick(near, far)).to.equal('b');
    expect(zoneOfPick(near, far, 240)).to.equal('a');
    occupy(near, 4);
    expect(zoneOfPick(near, far, 240)).to.equal('b');
  });
});
