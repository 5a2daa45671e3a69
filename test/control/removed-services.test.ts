/**
 * Guards against two holders of one key after a keyed service was removed and added again: whoever held its keys was forgotten with
 * the declaration, so they counted as never held.
 */
import { expect } from 'chai';
import { longestGrantMillis } from '../../src/lease/timed-grants.js';
import { decodeRegistry } from '../../src/registry/index.js';
import { readParts } from '../../src/registry/snapshot-codec.js';
import { HeartbeatWorld } from './heartbeat-world.js';
import { RangeWorld, SERVICE, TIMINGS } from './range-world.js';
import { ABSENCES, type Absence, absenceOf, changeOf, returnOf } from './service-absence.js';

const FIRST_GRANTS_MILLIS = 5000;
const UPSTREAMS = ['u1', 'u2', 'u3'];
/** The longest time within which upstreams may hold keys of a removed service, and some for decisions. */
const FORGOTTEN_AFTER_MILLIS = longestGrantMillis(TIMINGS) + 500;

function ownersOf(world: RangeWorld | HeartbeatWorld): string {
  return JSON.stringify(
    world.registry.ranges(SERVICE).map(({ from, to, owner, fence }) => [from, to, owner, fence]),
  );
}

/** Two upstreams share all keys, and a third one would get some if they were divided anew. */
function callWorld(): RangeWorld {
  const world = new RangeWorld();
  world.addHolder('u1');
  world.addHolder('u2');
  world.elect();
  world.run(FIRST_GRANTS_MILLIS);
  world.addHolder('u3');
  return world;
}

function heartbeatWorld(): HeartbeatWorld {
  const world = new HeartbeatWorld();
  world.add('u1');
  world.add('u2');
  world.elect();
  world.run(FIRST_GRANTS_MILLIS);
  world.add('u3');
  return world;
}

describe('the owners of a keyed service that is removed and added again', () => {
  for (const absence of Object.values(ABSENCES)) {
    it(`keep their keys, and no other upstream holds any, with grants by calls: ${absence}`, () => {
      const world = callWorld();
      const before = ownersOf(world);
      world.apply(absenceOf(SERVICE, absence, 2));
      world.run(1000);
      expect(world.registry.ranges(SERVICE)).to.deep.equal([]);
      world.apply(returnOf(SERVICE, 3));
      expect(ownersOf(world)).to.equal(before);
      world.run(100);
      expect(world.servedShare()).to.equal(1);
      // The simulation checks all holders after each event.
      world.run(FIRST_GRANTS_MILLIS);
    });

    it(`keep their keys, and no other upstream holds any, with grants by heartbeats: ${absence}`, () => {
      const world = heartbeatWorld();
      const before = ownersOf(world);
      world.apply(absenceOf(SERVICE, absence, 2));
      world.run(1000);
      world.apply(returnOf(SERVICE, 3, { grantedBy: 'heartbeat' }));
      expect(ownersOf(world)).to.equal(before);
      world.run(FIRST_GRANTS_MILLIS);
      expect(world.servedShare()).to.equal(1);
    });
  }

  it('hold them alone after the leader was lost while the service was away', () => {
    const world = callWorld();
    world.apply(absenceOf(SERVICE, ABSENCES.patched, 2));
    world.run(500);
    world.elect();
    world.run(500);
    world.apply(returnOf(SERVICE, 3));
    world.run(100);
    expect(world.servedShare()).to.equal(1);
    world.run(FIRST_GRANTS_MILLIS);
  });

  it('hold them alone if the service goes and comes three times in a row, each time in another way', () => {
    const world = callWorld();
    Object.values(ABSENCES).forEach((absence, round) => {
      world.apply(absenceOf(SERVICE, absence, 2 + 2 * round));
      world.run(300);
      world.apply(returnOf(SERVICE, 3 + 2 * round));
      world.run(300);
    });
    expect(world.servedShare()).to.equal(1);
    world.run(FIRST_GRANTS_MILLIS);
  });

  it('hold them alone if one change removes the service and adds it', () => {
    const world = callWorld();
    const before = ownersOf(world);
    const services = [{ name: SERVICE, keyed: true, warmSeconds: 1 }];
    world.apply(changeOf(2, { removedServices: [SERVICE], services }));
    expect(ownersOf(world)).to.equal(before);
    world.run(FIRST_GRANTS_MILLIS);
  });

  for (const [before, after] of [
    ['request', 'heartbeat'],
    ['heartbeat', 'request'],
  ] as const) {
    it(`count as holding them by ${before} if it comes back granted by ${after}`, () => {
      const world = before === 'request' ? callWorld() : heartbeatWorld();
      if (before === 'request') {
        expect(world.registry.services().get(SERVICE)?.definition.rangeGrants).to.equal(undefined);
      }
      world.apply(absenceOf(SERVICE, ABSENCES.unkeyed, 2));
      world.run(500);
      world.apply(returnOf(SERVICE, 3, { grantedBy: after }));
      const grants = world.registry.services().get(SERVICE)?.definition.rangeGrants;
      expect(grants).to.deep.equal({ carrier: after, hasChanged: true });
      world.run(FIRST_GRANTS_MILLIS);
    });
  }

  it('that restarted meanwhile are asked to release them first', () => {
    const world = new RangeWorld();
    for (const id of UPSTREAMS) {
      world.addHolder(id, undefined, 'a', 1);
    }
    world.elect();
    world.run(FIRST_GRANTS_MILLIS);
    world.apply(absenceOf(SERVICE, ABSENCES.whole, 2));
    world.run(200);
    world.restart('u1');
    world.run(200);
    world.apply(returnOf(SERVICE, 3));
    const formers = new Set(world.registry.ranges(SERVICE).map(({ former }) => former));
    expect([...formers]).to.include('u1');
    world.run(500);
    expect(world.servedShare()).to.equal(1);
  });

  it('that fell silent are not forgotten while they may hold them', () => {
    const world = callWorld();
    const holder = world.holders.get('u1');
    world.records.length = 0;
    world.apply(absenceOf(SERVICE, ABSENCES.patched, 2));
    Object.assign(holder as object, { state: 'cut', leaving: true });
    world.apply({ type: 'upstream-withdraw', upstream: 'u1' });
    world.run(longestGrantMillis(TIMINGS) - 500);
    expect(world.registry.upstreams().has('u1')).to.equal(true);
    expect(world.records.filter(({ event }) => event === 'range-freed')).to.deep.equal([]);
    world.run(FIRST_GRANTS_MILLIS);
    expect(world.registry.upstreams().has('u1')).to.equal(false);
  });

  it('are forgotten once they can hold nothing; then the keys are divided anew', () => {
    const world = callWorld();
    world.apply(absenceOf(SERVICE, ABSENCES.patched, 2));
    world.run(FORGOTTEN_AFTER_MILLIS);
    expect(world.registry.retiredRanges().size).to.equal(0);
    const events = world.records.filter(({ event }) => String(event).startsWith('ranges-retired'));
    expect(events.map(({ event, outcome }) => outcome ?? event)).to.deep.equal([
      'ranges-retired',
      'forgotten',
    ]);
    world.apply(returnOf(SERVICE, 3));
    world.run(FIRST_GRANTS_MILLIS);
    expect(new Set(world.registry.ranges(SERVICE).map(({ owner }) => owner)).size).to.equal(3);
  });

  it('are remembered by a member that restarts from a snapshot', () => {
    const world = callWorld();
    const before = ownersOf(world);
    world.apply(absenceOf(SERVICE, ABSENCES.whole, 2));
    const restored = decodeRegistry(world.registry.encode());
    const command = returnOf(SERVICE, 3);
    restored.apply(restored.revision + 1, { requestId: null, actor: 'test', at: 0, command });
    world.apply(command);
    expect(ownersOf(world)).to.equal(before);
    expect(restored.ranges(SERVICE)).to.deep.equal(world.registry.ranges(SERVICE));
    expect(Buffer.from(restored.encode()).equals(Buffer.from(world.registry.encode()))).to.equal(true);
  });
});

describe('a decision that is open while its service goes and comes back', () => {
  /** Guards against a renewal to an owner whose loss is decided but not committed yet: the service was started anew without that decision. */
  for (const [name, changes] of [
    ['removed and added', [absenceOf(SERVICE, ABSENCES.patched, 2), returnOf(SERVICE, 3)]],
    [
      'granted in another way and back',
      [returnOf(SERVICE, 2, { grantedBy: 'heartbeat' }), returnOf(SERVICE, 3)],
    ],
  ] as const) {
    it(`lets no second upstream hold the keys: ${name}`, () => {
      // Whether a renewal goes out in those milliseconds depends on the phase of the calls that failed before.
      for (let phaseMillis = 0; phaseMillis < 500; phaseMillis += 50) {
        const world = new RangeWorld();
        for (const id of UPSTREAMS) {
          world.addHolder(id);
        }
        world.elect();
        world.run(FIRST_GRANTS_MILLIS + phaseMillis);
        const lost = world.holders.get('u1');
        Object.assign(lost as object, { state: 'cut' });
        while (!world.records.some(({ event, holder }) => event === 'range-freed' && holder === 'u1')) {
          world.run(0.1);
        }
        // The change that gives its keys away takes milliseconds to be committed, and u1 can be reached again.
        Object.assign(lost as object, { state: 'up' });
        for (const change of changes) {
          world.apply(change);
          world.run(0.5);
        }
        world.run(FIRST_GRANTS_MILLIS);
        expect(world.servedShare()).to.equal(1);
      }
    });
  }
});

describe('services that are removed', () => {
  it('leave nothing behind: a thousand of them', function () {
    this.timeout(120_000);
    const world = new RangeWorld();
    world.addHolder('u1');
    world.elect();
    world.run(FIRST_GRANTS_MILLIS);
    let version = 2;
    for (let number = 0; number < 1000; number += 1) {
      const name = `service-${number}`;
      world.apply(returnOf(name, version));
      const [range] = world.registry.ranges(name);
      const update = { from: 0, to: range?.to ?? 0, expectedFence: 0, owner: 'u1', former: null };
      world.apply({ type: 'range-update', service: name, updates: [update] });
      world.apply(absenceOf(name, ABSENCES.patched, version + 1));
      version += 2;
    }
    expect(world.registry.retiredRanges().size).to.equal(1000);
    world.run(FORGOTTEN_AFTER_MILLIS);
    expect(world.registry.retiredRanges().size).to.equal(0);
    const parts = [...readParts(world.registry.encode())];
    const ranges = parts.flatMap((part) => (part.part === 'ranges' ? part.ranges : []));
    expect(new Set(ranges.map(({ service }) => service))).to.deep.equal(new Set([SERVICE]));
    expect(parts.map(({ part }) => part)).not.to.include('retired-ranges');
  });
});

describe('a log of an earlier release', () => {
  /** Entries as they were written before ranges were retired. */
  function apply(world: RangeWorld, absence: Absence): void {
    const { retiresRanges: _added, ...change } = absenceOf(SERVICE, absence, 2);
    world.apply(change);
  }

  for (const absence of Object.values(ABSENCES)) {
    it(`gives the state that its members reached: ${absence}`, () => {
      const world = callWorld();
      apply(world, absence);
      expect(world.registry.retiredRanges().size).to.equal(0);
      world.apply(returnOf(SERVICE, 3));
      expect(world.registry.ranges(SERVICE)).to.have.lengthOf(1);
      expect(world.registry.ranges(SERVICE)[0]).to.include({ owner: null, fence: 0, former: null });
    });
  }

  /** Plays a removal that begins some time after the last renewals; returns what the simulation found wrong. */
  function playRemoval(offsetMillis: number): string {
    const world = callWorld();
    world.run(offsetMillis);
    apply(world, ABSENCES.patched);
    world.run(5);
    world.apply(returnOf(SERVICE, 3));
    try {
      world.run(FIRST_GRANTS_MILLIS);
      return '';
    } catch (thrown) {
      return String(thrown);
    }
  }

  it('leads to a second holder, as it did then (sabotage)', () => {
    const faults = [0, 100, 200, 300, 400].map(playRemoval);
    expect(faults.join('\n')).to.match(/held by u\d and u\d/);
  });

  it('takes a change that was resent to this release for the same one', () => {
    const world = callWorld();
    const { retiresRanges: _added, ...change } = absenceOf(SERVICE, ABSENCES.patched, 2);
    world.apply(change);
    const { registry } = world;
    const command = { ...change, retiresRanges: true };
    const { result } = registry.apply(registry.revision + 1, {
      requestId: null,
      actor: 'test',
      at: 0,
      command,
    });
    expect(result.type).to.equal('accepted');
  });
});
