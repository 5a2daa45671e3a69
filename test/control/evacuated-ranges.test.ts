/** Ranges leave an evacuated zone, once, by release and handover, and return when the zone may be used again. */
import { expect } from 'chai';
import { RangeWorld, SERVICE } from './range-world.js';

const ZONES = ['a', 'b', 'c'];
const SERVERS_A_ZONE = 3;
const FIRST_GRANTS_MILLIS = 2500;

function started(): RangeWorld {
  const world = new RangeWorld();
  for (const zone of ZONES) {
    for (let number = 1; number <= SERVERS_A_ZONE; number += 1) {
      world.addHolder(`${zone}${number}`, undefined, zone);
    }
  }
  world.elect();
  world.run(FIRST_GRANTS_MILLIS);
  expect(world.servedShare()).to.equal(1);
  return world;
}

function ownersOf(world: RangeWorld): Set<string> {
  return new Set(world.registry.ranges(SERVICE).map(({ owner }) => owner ?? 'nobody'));
}

function zonesOfOwners(world: RangeWorld): string[] {
  return [...new Set([...ownersOf(world)].map((owner) => owner.charAt(0)))].sort();
}

describe('ranges of an evacuated zone', () => {
  it('move to the other zones at once, with handovers, and each key moves once', () => {
    const world = started();
    const before = world.registry.ranges(SERVICE);
    world.calls.length = 0;
    world.apply({ type: 'evacuation-start', zone: 'b' });
    world.run(300);
    expect(world.servedShare()).to.equal(1);
    expect(zonesOfOwners(world)).to.deep.equal(['a', 'c']);
    const grants = world.calls.filter((call) => call.kind === 'grant' && call.handover?.startsWith('b'));
    expect(grants.length).to.be.at.least(SERVERS_A_ZONE);
    const stayed = before.filter(({ owner }) => !owner?.startsWith('b'));
    for (const { from, to, owner } of stayed) {
      const now = world.registry.ranges(SERVICE).find((range) => range.from <= from && to <= range.to);
      expect(now?.owner, `owner of ${from} to ${to}, which could stay`).to.equal(owner);
    }
  });

  it('are assigned to none of its upstreams, including ones that join meanwhile', () => {
    const world = started();
    world.apply({ type: 'evacuation-start', zone: 'b' });
    world.addHolder('b9', '10.0.1.9:80', 'b');
    world.run(8000);
    expect(zonesOfOwners(world)).to.deep.equal(['a', 'c']);
    expect(world.servedShare()).to.equal(1);
  });

  it('stay outside the zone under a leader elected meanwhile', () => {
    const world = started();
    world.apply({ type: 'evacuation-start', zone: 'b' });
    world.elect();
    world.run(8000);
    expect(zonesOfOwners(world)).to.deep.equal(['a', 'c']);
    expect(world.servedShare()).to.equal(1);
  });

  it('move to the third zone when two are evacuated at once', () => {
    const world = started();
    world.apply({ type: 'evacuation-start', zone: 'b' });
    world.run(10);
    world.apply({ type: 'evacuation-start', zone: 'a' });
    world.run(1000);
    expect(zonesOfOwners(world)).to.deep.equal(['c']);
    expect(world.servedShare()).to.equal(1);
  });

  it('return to the upstreams of a zone that may be used again', () => {
    const world = started();
    world.apply({ type: 'evacuation-start', zone: 'b' });
    world.run(2000);
    world.apply({ type: 'evacuation-end', zone: 'b' });
    world.run(4000);
    expect(zonesOfOwners(world)).to.deep.equal(['a', 'b', 'c']);
    expect(world.servedShare()).to.equal(1);
  });

  it('are served again after all zones were evacuated for longer than grants are held', () => {
    const world = started();
    for (const zone of ZONES) {
      world.apply({ type: 'evacuation-start', zone });
    }
    world.run(9000);
    for (const zone of ZONES) {
      world.apply({ type: 'evacuation-end', zone });
    }
    world.run(4000);
    expect(world.servedShare()).to.equal(1);
  });
});
