/** Picks by the speeds and capacities that control reports, and by the router's own measurements without such reports. */
import { expect } from 'chai';
import type { FleetUpdate } from '../../src/control/messages.js';
import type { ZoneCapacity } from '../../src/model/fleet-view.js';
import { UpstreamState } from '../../src/routing/index.js';
import { LeastWorkPicker } from '../../src/routing/picker/least-work-picker.js';
import type { PickContext } from '../../src/routing/picker/picker.js';
import { Random } from '../../src/routing/random.js';
import { affinityOf } from '../../src/routing/upstream/affinity.js';
import { FleetViewCache } from '../../src/routing/zones/fleet-view-cache.js';
import { SpillCredits } from '../../src/routing/zones/spill-credits.js';
import { upstream } from './router-harness.js';

const ROOM: ZoneCapacity = {
  service: 'menu',
  zone: 'a',
  meanMillis: 100,
  isUneven: true,
  use: 0.5,
  spill: [],
};

function updateOf(changes: Partial<FleetUpdate> = {}): FleetUpdate {
  const version = { term: 1, number: 1 };
  return { type: 'fleet-news', version, isWhole: true, speeds: [], zones: [ROOM], ...changes };
}

function upstreamsOf(count: number, fleet: FleetViewCache, router = 'r1', zone = 'a'): UpstreamState[] {
  return Array.from({ length: count }, (_, index) => {
    const id = `${zone}-${(7919 * (index + 1)).toString(16)}`;
    const record = upstream(id, 'menu', { zone, announced: { slots: 2, warmupMillis: 0 } });
    const state = new UpstreamState(record, 2, Number.NEGATIVE_INFINITY, affinityOf(router, id));
    state.setFleetView(fleet);
    return state;
  });
}

function contextOf(candidates: readonly UpstreamState[], changes: Partial<PickContext> = {}): PickContext {
  const random = new Random(1);
  return { candidates, zone: 'a', now: 0, random, inTimeMillis: 1000, weigh: () => 1, ...changes };
}

describe('a fleet update from control', () => {
  it('expires if it isn’t renewed for some seconds', () => {
    const fleet = new FleetViewCache();
    fleet.update(updateOf({ speeds: [{ upstream: 'u1', speed: 0.7 }] }), 1000);
    expect(fleet.speedOf('u1', 5900)).to.equal(0.7);
    expect(fleet.speedOf('u1', 6100)).to.equal(null);
    expect(fleet.capacityOf('menu', 'a', 6100)).to.equal(null);
    fleet.update(updateOf({ isWhole: false, zones: [] }), 6200);
    expect(fleet.speedOf('u1', 6300)).to.equal(0.7);
  });

  it('of another leader replaces earlier data', () => {
    const fleet = new FleetViewCache();
    fleet.update(updateOf({ speeds: [{ upstream: 'u1', speed: 0.7 }] }), 0);
    fleet.update(updateOf({ version: { term: 2, number: 0 }, zones: [] }), 100);
    expect(fleet.speedOf('u1', 200)).to.equal(null);
  });

  it('is ignored if it is older than the present data', () => {
    const fleet = new FleetViewCache();
    fleet.update(updateOf({ version: { term: 1, number: 5 } }), 0);
    fleet.update(updateOf({ isWhole: false, speeds: [{ upstream: 'u1', speed: 3 }] }), 100);
    expect(fleet.speedOf('u1', 200)).to.equal(null);
  });
});

describe('picks', () => {
  it('are the same as without an update while speeds are equal and no zone lacks capacity', () => {
    const picksWith = (room: ZoneCapacity | null): string[] => {
      const fleet = new FleetViewCache();
      if (room !== null) {
        fleet.update(updateOf({ zones: [room] }), 0);
      }
      const candidates = [...upstreamsOf(30, fleet), ...upstreamsOf(30, fleet, 'r1', 'b')];
      const picker = new LeastWorkPicker();
      const random = new Random(7);
      return Array.from({ length: 500 }, (_, index) => {
        const picked = picker.pick(contextOf(candidates, { now: index, random, zoneCapacity: room }));
        picked.dispatched();
        picked.answered(40 + (index % 7), index % 3, index);
        picked.inFlight -= 1;
        return picked.id;
      });
    };
    expect(picksWith({ ...ROOM, isUneven: false })).to.deep.equal(picksWith(null));
  });

  it('distribute requests in proportion to speed while no loads are known', () => {
    const counts = [0, 0];
    for (let router = 0; router < 200; router += 1) {
      const fleet = new FleetViewCache();
      const candidates = upstreamsOf(40, fleet, `edge-${router}`);
      const speeds = candidates.map(({ id }, index) => ({
        upstream: id,
        speed: index % 2 === 0 ? 0.5 : 1.5,
      }));
      fleet.update(updateOf({ speeds }), 0);
      // The usual load is twice the capacity of an upstream of speed 1, so the fast ones aren't free.
      fleet.recordRelativeLoad('menu', 'a', 2, 0);
      const picker = new LeastWorkPicker();
      const random = new Random(router);
      for (let pick = 0; pick < 20; pick += 1) {
        const picked = picker.pick(contextOf(candidates, { random, zoneCapacity: ROOM }));
        counts[candidates.indexOf(picked) % 2] = (counts[candidates.indexOf(picked) % 2] ?? 0) + 1;
      }
    }
    const [slow = 0, fast = 0] = counts;
    expect(fast / slow).to.be.within(2, 5);
  });

  it('go to the fast upstream while it has capacity', () => {
    const fleet = new FleetViewCache();
    const candidates = upstreamsOf(6, fleet);
    const speeds = candidates.map(({ id }, index) => ({ upstream: id, speed: index === 0 ? 1.6 : 0.8 }));
    fleet.update(updateOf({ speeds }), 0);
    const [first] = candidates;
    const random = new Random(1);
    let fastFirst = 0;
    for (let pick = 0; pick < 1000; pick += 1) {
      const picked = new LeastWorkPicker().pick(contextOf(candidates, { random, zoneCapacity: ROOM }));
      fastFirst += picked === first ? 1 : 0;
    }
    expect(fastFirst / 1000).to.be.above(0.95);
  });

  it('leave the zone in the planned share even if each router has few requests', () => {
    const fleet = new FleetViewCache();
    const spill = [{ zone: 'b', share: 0.25 }];
    const random = new Random(1);
    let remotePicks = 0;
    for (let router = 0; router < 400; router += 1) {
      const candidates = [...upstreamsOf(4, fleet), ...upstreamsOf(4, fleet, 'r1', 'b')];
      const picker = new LeastWorkPicker();
      for (let pick = 0; pick < 3; pick += 1) {
        const picked = picker.pick(contextOf(candidates, { random, zoneCapacity: { ...ROOM, spill } }));
        remotePicks += picked.zone === 'b' ? 1 : 0;
      }
    }
    expect(remotePicks / 1200).to.be.closeTo(0.25, 0.04);
  });
});

describe('spill credits', () => {
  it('are dropped for a zone that is removed from the plan', () => {
    const credits = new SpillCredits();
    const random = new Random(1);
    for (let turn = 0; turn < 10; turn += 1) {
      credits.nextZone([{ zone: 'b', share: 0.9 }], random);
    }
    expect(credits.nextZone([], random)).to.equal(null);
    expect(credits.maySendAhead('b')).to.equal(false);
  });
});
