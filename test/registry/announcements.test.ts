/** Upstreams that announce themselves: an id leaves once, and never comes back. */
import { expect } from 'chai';
import type { UpstreamDefinition } from '../../src/model/service.js';
import { type Command, createRegistry, decodeRegistry, type Registry } from '../../src/registry/index.js';

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

function send(registry: Registry, command: Command): void {
  const { result } = registry.apply(registry.revision + 1, {
    requestId: null,
    actor: 'test',
    at: 0,
    command,
  });
  expect(result.type).to.equal('accepted');
}

const announce = (definition: UpstreamDefinition): Command => ({ type: 'upstream-announce', definition });

describe('announced upstreams', () => {
  it('stay leaving whatever comes late', () => {
    const registry = createRegistry();
    send(registry, announce(upstream('u1')));
    send(registry, announce(upstream('u1', { leaving: true })));
    send(registry, announce(upstream('u1')));
    expect(registry.upstreams().get('u1')?.definition.leaving).to.equal(true);
  });

  it('give way to another run at their address and never come back', () => {
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

  it('are not brought in by a heartbeat after they withdrew unheard', () => {
    const registry = createRegistry();
    send(registry, { type: 'upstream-withdraw', upstream: 'u1' });
    send(registry, announce(upstream('u1')));
    expect(registry.upstreams().size).to.equal(0);
  });

  it('leave an upstream at the same address alone that an operator declared', () => {
    const registry = createRegistry();
    const { announced: _announced, ...plain } = upstream('u1');
    const state = registry.upstreams() as Map<string, unknown>;
    state.set('u1', { definition: plain, revision: 1, incarnation: null });
    send(registry, announce(upstream('u2')));
    send(registry, { type: 'upstream-forget', upstreams: ['u1', 'u2'] });
    expect([...registry.upstreams().keys()]).to.deep.equal(['u1']);
  });
});
