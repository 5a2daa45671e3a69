/** Upstreams that announce their slots: their cost, and when requests leave the zone. */
import { expect } from 'chai';
import { UpstreamState } from '../../src/routing/index.js';
import { LeastWorkPicker } from '../../src/routing/picker/least-work-picker.js';
import { Random } from '../../src/routing/random.js';
import { affinityOf } from '../../src/routing/upstream/affinity.js';
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

/** Creates the upstreams of one zone with a router's order of preference. */
function zoneOf(count: number, router: string): UpstreamState[] {
  return Array.from({ length: count }, (_, index) => {
    const id = `i-${(7919 * index).toString(16)}`;
    const record = upstream(id, 'pantry', { zone: 'a', announced: { slots: 2, warmupMillis: 0 } });
    return new UpstreamState(record, 2, Number.NEGATIVE_INFINITY, affinityOf(router, id));
  });
}

/** Returns the ids of `count` picks, `gapMillis` apart. */
function picksOf(candidates: UpstreamState[], count: number, gapMillis: number, seed = 1): string[] {
  const picker = new LeastWorkPicker();
  const random = new Random(seed);
  return Array.from({ length: count }, (_, index) => {
    const now = index * gapMillis;
    return picker.pick({ candidates, zone: 'a', now, random, inTimeMillis: null, weigh: () => 1 }).id;
  });
}

describe('a router with many upstreams', () => {
  it('uses few of its zone while it has few requests', () => {
    expect(new Set(picksOf(zoneOf(30, 'r1'), 200, 600)).size).to.be.at.most(8);
  });

  it('uses all of them once it has many requests', () => {
    expect(new Set(picksOf(zoneOf(30, 'r1'), 2000, 1)).size).to.equal(30);
  });

  it('uses the next ones of its order if some have no capacity', () => {
    const all = zoneOf(30, 'r1');
    const preferred = new Set(picksOf(all, 200, 600));
    const rest = all.filter(({ id }) => !preferred.has(id));
    const [out = ''] = preferred;
    const left = new Set(
      picksOf(
        all.filter(({ id }) => id !== out),
        200,
        600,
      ),
    );
    expect([...preferred].filter((id) => id !== out && !left.has(id))).to.deep.equal([]);
    expect(new Set(picksOf(rest, 200, 600)).size).to.be.within(2, 8);
  });

  it('loads them evenly together with other routers', () => {
    const counts = new Map<string, number>();
    for (let router = 0; router < 171; router += 1) {
      for (const id of picksOf(zoneOf(30, `edge-col-a-${router}`), 100, 600, 1 + router)) {
        counts.set(id, (counts.get(id) ?? 0) + 1);
      }
    }
    const mean = (171 * 100) / 30;
    expect(counts.size).to.equal(30);
    expect(Math.max(...counts.values())).to.be.below(mean * 1.45);
    expect(Math.min(...counts.values())).to.be.above(mean * 0.55);
  });
});

describe('announced upstreams', () => {
  it('cost one service time while a slot is free, and more as requests queue', () => {
    const state = announced('u1', 'a');
    const free = state.cost(0);
    occupy(state, 2);
    expect(state.cost(0)).to.be.closeTo(free, free * 0.15);
    occupy(state, 4);
    expect(state.cost(0)).to.be.above(free * 2);
  });

  it('accept one request more than they have slots, and no more if their reported load is high', () => {
    const state = announced('u1', 'a', 2);
    occupy(state, 2);
    expect(state.hasSlot(0, 0)).to.equal(true);
    occupy(state, 1);
    expect(state.hasSlot(0, 0)).to.equal(false);
    const loaded = announced('u2', 'a', 2);
    occupy(loaded, 1);
    for (let time = 1; time < 400; time += 20) {
      loaded.recordLoad(9, time);
    }
    expect(loaded.hasSlot(400, 0)).to.equal(false);
    expect(announced('u3', 'a', 2).hasSlot(0, 0)).to.equal(true);
  });

  function zoneOfPick(near: UpstreamState, far: UpstreamState, inTimeMillis: number | null = null): string {
    const random = new Random(1);
    const context = { candidates: [near, far], zone: 'a', now: 0, random, inTimeMillis, weigh: () => 1 };
    return new LeastWorkPicker().pick(context).zone;
  }

  it('of the own zone are picked while they have a free slot, and others once requests queue', () => {
    const near = announced('u1', 'a');
    const far = announced('u2', 'b');
    occupy(near, 2);
    expect(zoneOfPick(near, far)).to.equal('a');
    occupy(near, 5);
    expect(zoneOfPick(near, far)).to.equal('b');
  });

  it('of the own zone are picked, however slow, while they are expected to answer in time', () => {
    const near = announced('u1', 'a');
    const far = announced('u2', 'b');
    near.recordUnqueuedAnswer(200);
    far.recordUnqueuedAnswer(60);
    expect(zoneOfPick(near, far)).to.equal('b');
    expect(zoneOfPick(near, far, 240)).to.equal('a');
    occupy(near, 4);
    expect(zoneOfPick(near, far, 240)).to.equal('b');
  });
});
