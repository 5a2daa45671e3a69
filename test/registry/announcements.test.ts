/** Announced upstreams: after a run of an id has left, only a later run of that id is accepted. */
import { expect } from 'chai';
import type { UpstreamDefinition } from '../../src/model/service.js';
import { type Command, createRegistry, decodeRegistry, type Registry } from '../../src/registry/index.js';
import type { CommandResult } from '../../src/registry/types.js';

function upstream(id: string, changes: Partial<UpstreamDefinition> = {}): UpstreamDefinition {
  return {
    id,
    service: 'menu',
    address: '10.0.0.1:8080',
    zone: 'zone-a',
    mayHold: [],
    leaving: false,
    announced: { slots: 2, warmupMillis: 0 },
    ...changes,
  };
}

function apply(registry: Registry, command: Command): CommandResult {
  const entry = { requestId: null, actor: 'test', at: 0, command };
  return registry.apply(registry.revision + 1, entry).result;
}

function send(registry: Registry, command: Command): void {
  expect(apply(registry, command).type).to.equal('accepted');
}

/** Declares a service whose keys are owned by range. */
const DECLARED: Command = {
  type: 'declaration-apply',
  version: 1,
  expected: 0,
  extent: 'whole',
  routes: [],
  services: [{ name: 'menu', keyed: true }],
  limits: null,
  removedRoutes: [],
  removedServices: [],
};

const announce = (definition: UpstreamDefinition): Command => ({ type: 'upstream-announce', definition });

describe('announced upstreams', () => {
  it('stay leaving when late announcements arrive', () => {
    const registry = createRegistry();
    send(registry, announce(upstream('u1')));
    send(registry, announce(upstream('u1', { leaving: true })));
    send(registry, announce(upstream('u1')));
    expect(registry.upstreams().get('u1')?.definition.leaving).to.equal(true);
  });

  it('are replaced by another run at their address and are not registered again', () => {
    const registry = createRegistry();
    send(registry, announce(upstream('u1')));
    send(registry, announce(upstream('u2', { service: 'pantry' })));
    send(registry, announce(upstream('u1')));
    expect([...registry.upstreams().keys()]).to.deep.equal(['u2']);
    const restored = decodeRegistry(registry.encode());
    expect(restored.isDeparted('u1')).to.equal(true);
    send(restored, announce(upstream('u1', { address: '10.0.0.9:1' })));
    expect([...restored.upstreams().keys()]).to.deep.equal(['u2']);
  });

  // A fault found by reading the code: an upstream owned nothing when its removal was proposed, but was granted keys before the entry
  // was applied. Without a record it counts as ended, so others could be granted its keys at once while it still held them.
  it('are kept while they own keys or may still hold some, whichever command removes them', () => {
    for (const [owner, former] of [
      ['u1', null],
      [null, 'u1'],
    ] as const) {
      for (const end of [
        { type: 'upstream-forget', upstreams: ['u1'] },
        { type: 'upstream-remove', upstream: 'u1', expected: null },
      ] as const) {
        const registry = createRegistry();
        send(registry, DECLARED);
        send(registry, announce(upstream('u1')));
        const [whole] = registry.ranges('menu');
        const { from, to, fence } = whole as NonNullable<typeof whole>;
        const updates = [{ from, to, expectedFence: fence, owner, former }];
        send(registry, { type: 'range-update', service: 'menu', updates });
        apply(registry, end);
        expect([...registry.upstreams().keys()], `${end.type}, ${owner}`).to.deep.equal(['u1']);
        expect(registry.isDeparted('u1')).to.equal(false);
        const freed = [
          { from, to, expectedFence: registry.ranges('menu')[0]?.fence ?? 0, owner: null, former: null },
        ];
        send(registry, { type: 'range-update', service: 'menu', updates: freed });
        apply(registry, end);
        expect([...registry.upstreams().keys()], `${end.type}, ${owner}`).to.deep.equal([]);
      }
    }
  });

  it('are not registered by a heartbeat after a withdrawal that preceded any announcement', () => {
    const registry = createRegistry();
    send(registry, { type: 'upstream-withdraw', upstream: 'u1' });
    send(registry, announce(upstream('u1')));
    expect(registry.upstreams().size).to.equal(0);
  });

  it('do not affect an upstream at the same address that an operator declared', () => {
    const registry = createRegistry();
    const { announced: _announced, ...plain } = upstream('u1');
    const state = registry.upstreams() as Map<string, unknown>;
    state.set('u1', { definition: plain, revision: 1, incarnation: null });
    send(registry, announce(upstream('u2')));
    send(registry, { type: 'upstream-forget', upstreams: ['u1', 'u2'] });
    expect([...registry.upstreams().keys()]).to.deep.equal(['u1']);
  });
});

describe('runs of an upstream under one id', () => {
  const born = (start: number, changes: Partial<UpstreamDefinition> = {}): UpstreamDefinition =>
    upstream('u1', { announced: { slots: 2, warmupMillis: 0, born: start }, ...changes });

  function registryWithOwner(start: number): Registry {
    const registry = createRegistry();
    send(registry, DECLARED);
    send(registry, announce(born(start)));
    const [whole] = registry.ranges('menu');
    const { from, to, fence } = whole as NonNullable<typeof whole>;
    const updates = [{ from, to, expectedFence: fence, owner: 'u1', former: null }];
    send(registry, { type: 'range-update', service: 'menu', updates });
    return registry;
  }

  it('a later run replaces the previous one, which owns nothing any more', () => {
    const registry = registryWithOwner(100);
    const [before] = registry.ranges('menu');
    send(registry, announce(born(200)));
    const [range] = registry.ranges('menu');
    expect(range).to.include({ owner: null, former: 'u1' });
    expect(range?.fence).to.be.above(before?.fence ?? 0);
    expect(registry.upstreams().get('u1')?.incarnation).to.equal('u1@200');
  });

  it('an earlier run changes nothing, whatever it reports', () => {
    const registry = registryWithOwner(200);
    const before = registry.encode();
    send(registry, announce(born(100)));
    send(registry, announce(born(100, { leaving: true })));
    send(registry, { type: 'upstream-withdraw', upstream: 'u1', born: 100 });
    const restored = decodeRegistry(before);
    expect([...registry.upstreams()]).to.deep.equal([...restored.upstreams()]);
    expect(registry.ranges('menu')).to.deep.equal(restored.ranges('menu'));
  });

  it('are accepted after an earlier run that left, withdrew or was forgotten', () => {
    for (const end of [
      announce(born(100, { leaving: true })),
      { type: 'upstream-withdraw', upstream: 'u1', born: 100 },
      { type: 'upstream-forget', upstreams: ['u1'] },
    ] as const) {
      const registry = createRegistry();
      send(registry, announce(born(100)));
      send(registry, end);
      send(registry, announce(born(100)));
      expect(registry.upstreams().get('u1')?.definition.leaving ?? true).to.equal(true);
      const restored = decodeRegistry(registry.encode());
      send(restored, announce(born(200)));
      expect(restored.upstreams().get('u1')?.definition.leaving).to.equal(false);
      send(restored, end.type === 'upstream-forget' ? announce(born(100, { leaving: true })) : end);
      expect(restored.upstreams().get('u1')?.definition.leaving).to.equal(false);
    }
  });

  it('are distinguished from a run that withdrew before it was announced', () => {
    const registry = createRegistry();
    send(registry, { type: 'upstream-withdraw', upstream: 'u1', born: 200 });
    send(registry, { type: 'upstream-withdraw', upstream: 'u1', born: 100 });
    send(registry, announce(born(200)));
    send(registry, announce(born(150)));
    expect(registry.upstreams().size).to.equal(0);
    send(registry, announce(born(201)));
    expect(registry.upstreams().size).to.equal(1);
  });

  it('are identified by id alone if they do not report their start', () => {
    const registry = createRegistry();
    send(registry, announce(upstream('u1')));
    expect(registry.upstreams().get('u1')?.incarnation).to.equal('u1');
    send(registry, { type: 'upstream-forget', upstreams: ['u1'] });
    send(registry, announce(upstream('u1')));
    expect(registry.upstreams().size).to.equal(0);
  });

  it('remain the same run when their warmup changes', () => {
    const registry = registryWithOwner(100);
    const [before] = registry.ranges('menu');
    send(registry, announce(born(100, { announced: { slots: 2, warmupMillis: 3000, born: 100 } })));
    expect(registry.upstreams().get('u1')?.definition.announced?.warmupMillis).to.equal(3000);
    expect(registry.ranges('menu')[0]).to.equal(before);
    send(registry, announce(born(100)));
    expect(registry.upstreams().get('u1')?.definition.announced?.warmupMillis).to.equal(0);
  });
});
