/** Ranges of a declared service that commands for single services replaced or deleted are kept only while upstreams may hold them. */
import { expect } from 'chai';
import type { OperatorResponse } from '../../src/control/types.js';
import { longestGrantMillis } from '../../src/lease/timed-grants.js';
import type { DeclarationChange } from '../../src/registry/types.js';
import { Cluster, SERVICE as PLAIN_SERVICE } from './cluster-harness.js';
import { RangeWorld, SERVICE, TIMINGS } from './range-world.js';
import { changeOf, returnOf } from './service-absence.js';

const FIRST_GRANTS_MILLIS = 5000;
/** The longest time for which upstreams may hold keys after the last grant, and some for decisions. */
const FREED_AFTER_MILLIS = longestGrantMillis(TIMINGS) + 500;
/** Silent upstreams are forgotten after 60 heartbeats. */
const FORGOTTEN_AFTER_MILLIS = 61 * TIMINGS.heartbeatMillis;

/** Two upstreams share all keys of a declared service. */
function sharedWorld(): RangeWorld {
  const world = new RangeWorld();
  world.addHolder('u1');
  world.addHolder('u2');
  world.elect();
  world.run(FIRST_GRANTS_MILLIS);
  return world;
}

/** Puts a service without keys in the place of the declared one. */
function replace(world: RangeWorld): void {
  const definition = { ...PLAIN_SERVICE, name: SERVICE, keyed: false, keyspaces: [] };
  world.apply({ type: 'service-apply', definition, expected: null });
}

function namedUpstreams(world: RangeWorld): string[] {
  const named = world.registry.ranges(SERVICE).flatMap(({ owner, former }) => owner ?? former ?? []);
  return [...new Set(named)].sort();
}

function countOf(world: RangeWorld, event: string): number {
  return world.records.filter((record) => record.event === event).length;
}

describe('ranges of a declared service that a command for single services took away', () => {
  /** Guards against upstreams that could never be forgotten, and a proposal to forget them at each decision. */
  it('name no upstream once none can hold them, and silent ones are forgotten: replaced', () => {
    const world = sharedWorld();
    replace(world);
    world.run(longestGrantMillis(TIMINGS) - 500);
    expect(namedUpstreams(world)).to.deep.equal(['u1', 'u2']);
    world.run(1000);
    expect(namedUpstreams(world)).to.deep.equal([]);
    Object.assign(world.holders.get('u1') as object, { state: 'ended' });
    const before = world.registry.revision;
    world.run(FORGOTTEN_AFTER_MILLIS);
    expect([...world.registry.upstreams().keys()]).to.deep.equal(['u2']);
    expect(world.registry.revision - before).to.equal(1);
  });

  /** A service is deleted only once no upstream serves it; one that went over to another service is still named. */
  it('name no upstream once none can hold them: deleted', () => {
    const world = sharedWorld();
    world.apply(changeOf(2, { services: [{ name: 'other' }] }));
    for (const [id, { address, zone }] of world.holders) {
      const announced = { slots: 2, warmupMillis: 0, born: 1 };
      const definition = { id, service: 'other', address, zone, mayHold: [], leaving: false, announced };
      world.apply({ type: 'upstream-announce', definition });
    }
    world.apply({ type: 'service-delete', service: SERVICE, expected: null });
    expect(world.registry.services().has(SERVICE)).to.equal(false);
    expect(namedUpstreams(world)).to.deep.equal(['u1', 'u2']);
    world.run(FREED_AFTER_MILLIS);
    expect(namedUpstreams(world)).to.deep.equal([]);
  });

  /** Guards against a claim to the address of an upstream that may hold keys, which was decided by time alone, as if it held none. */
  it('keep their owners known: a claim to an address waits until the run there can hold none', () => {
    const world = sharedWorld();
    replace(world);
    const holder = world.holders.get('u1') as Parameters<RangeWorld['announce']>[0];
    holder.state = 'cut';
    world.run(100);
    const claimUntil = (end: number): void => {
      while (world.now < end) {
        world.announce(Object.assign(Object.create(holder), { id: 'u1-next' }));
        world.run(TIMINGS.heartbeatMillis);
      }
    };
    const freedAt = world.now - 100 + longestGrantMillis(TIMINGS);
    claimUntil(freedAt - TIMINGS.heartbeatMillis);
    expect(world.registry.upstreams().has('u1')).to.equal(true);
    claimUntil(freedAt + FIRST_GRANTS_MILLIS);
    expect([...world.registry.upstreams().keys()]).to.deep.equal(['u2', 'u1-next']);
  });

  it('come back with their owners if the document is changed sooner', () => {
    const world = sharedWorld();
    world.records.length = 0;
    replace(world);
    world.run(1000);
    world.apply(returnOf(SERVICE, 2));
    world.run(100);
    expect(world.servedShare()).to.equal(1);
    expect(countOf(world, 'range-freed')).to.equal(0);
    world.run(FREED_AFTER_MILLIS);
    expect(world.servedShare()).to.equal(1);
  });

  it('are counted from the election of a new leader', () => {
    const world = sharedWorld();
    replace(world);
    world.run(longestGrantMillis(TIMINGS) - 500);
    world.elect();
    world.run(longestGrantMillis(TIMINGS) - 500);
    expect(namedUpstreams(world)).to.deep.equal(['u1', 'u2']);
    world.run(1000);
    expect(namedUpstreams(world)).to.deep.equal([]);
  });

  /** Guards against a renewal to an owner whose keys are being given away. */
  it('have no second holder if the document brings them back while they are given up', () => {
    for (let offsetMillis = -10; offsetMillis <= 10; offsetMillis += 1) {
      const world = sharedWorld();
      replace(world);
      world.run(longestGrantMillis(TIMINGS) + offsetMillis);
      world.apply(returnOf(SERVICE, 2));
      world.addHolder('u3');
      world.run(FIRST_GRANTS_MILLIS);
      expect(world.servedShare()).to.equal(1);
    }
  });
});

/**
 * Guards against two holders of one key: after a command for single services had replaced a declared service, a change of the document
 * that took it away and one that brought it back counted its keys as never held.
 */
describe('a command for single services that names a declared service with keys', () => {
  const definition = { ...PLAIN_SERVICE, name: SERVICE, keyed: false, keyspaces: [] };
  const COMMANDS = {
    replace: { type: 'service-apply', definition, expected: null },
    delete: { type: 'service-delete', service: SERVICE, expected: null },
  } as const;

  for (const [what, command] of Object.entries(COMMANDS)) {
    it(`is refused before it enters the log, while the document has the keys: ${what}`, () => {
      const cluster = new Cluster();
      cluster.runUntil(() => cluster.leader() !== undefined, 5000);
      const declare = (change: DeclarationChange): OperatorResponse =>
        cluster.ask({ type: 'declare', actor: 'test', change });
      declare(changeOf(1, { services: [{ name: SERVICE, keyed: true }] }));
      const refused = cluster.change(command);
      const message = `service: the keys of ${SERVICE} are divided by the declared document; change it there`;
      expect(refused).to.deep.equal({ type: 'result', result: { type: 'invalid', message }, inForce: false });
      declare(changeOf(2, { services: [{ name: SERVICE }] }));
      const taken = cluster.change(command);
      expect(taken).to.have.nested.property('result.type', 'accepted');
    });
  }

  // Guards against a definite refusal by a member that was cut off or restarted, of what the leader accepts.
  it('is left to the leader by a member that knows an old document', () => {
    const cluster = new Cluster();
    cluster.runUntil(() => cluster.leader() !== undefined, 5000);
    const declare = (change: DeclarationChange): OperatorResponse =>
      cluster.ask({ type: 'declare', actor: 'test', change });
    declare(changeOf(1, { services: [{ name: SERVICE, keyed: true }] }));
    cluster.run(500);
    const follower = [...cluster.members.values()].find(({ id }) => id !== cluster.leader().id);
    expect(follower).not.to.equal(undefined);
    cluster.cut.add(follower?.id ?? '');
    declare(changeOf(2, { services: [{ name: SERVICE }] }));
    const command = COMMANDS.replace;
    const request = { type: 'command', requestId: 'r1', actor: 'test', command, wait: false } as const;
    expect(cluster.ask(request)).to.have.nested.property('result.type', 'accepted');
    expect(cluster.ask({ ...request, requestId: 'r2' }, follower)).to.have.property('type', 'not-leader');
  });

  // Guards against an operator who lost the answer to a change that took effect, and is told that it was refused.
  it('gets its first result when it is sent again after the document has declared the keys', () => {
    const cluster = new Cluster();
    cluster.runUntil(() => cluster.leader() !== undefined, 5000);
    const command = COMMANDS.replace;
    const request = { type: 'command', requestId: 'r1', actor: 'test', command, wait: false } as const;
    const first = cluster.ask(request);
    expect(first).to.have.nested.property('result.type', 'accepted');
    const change = changeOf(1, { services: [{ name: SERVICE, keyed: true }] });
    const declared = cluster.ask({ type: 'declare', actor: 'test', change });
    expect(declared).to.have.nested.property('result.type', 'accepted');
    expect(cluster.ask(request)).to.deep.equal(first);
    expect(cluster.ask({ ...request, requestId: 'r2' })).to.have.nested.property('result.type', 'invalid');
  });

  it('would lead to a second holder if it were in the log (sabotage)', () => {
    const faults = [0, 100, 200, 300, 400].map((offsetMillis) => {
      const world = sharedWorld();
      world.run(offsetMillis);
      replace(world);
      world.run(5);
      world.apply(changeOf(2, { removedServices: [SERVICE] }));
      world.run(5);
      world.apply(returnOf(SERVICE, 3));
      world.addHolder('u3');
      try {
        world.run(FIRST_GRANTS_MILLIS);
        return '';
      } catch (thrown) {
        return String(thrown);
      }
    });
    expect(faults.join('\n')).to.match(/held by u\d and u\d/);
  });
});
