/** Evacuations of zones: they are part of the replicated state, and their commands can be resent. */
import { expect } from 'chai';
import type { UpstreamDefinition } from '../../src/model/service.js';
import { type Command, createRegistry, decodeRegistry, type Registry } from '../../src/registry/index.js';
import { controlToRouterCodecs } from '../../src/wire/index.js';

const DEFINITION: UpstreamDefinition = {
  id: 'u1',
  service: 'menu',
  address: '10.0.0.1:8080',
  zone: 'b',
  mayHold: [],
  leaving: false,
  announced: { slots: 2, warmupMillis: 0 },
};

function send(registry: Registry, command: Command): number {
  const envelope = { requestId: null, actor: 'test', at: 5, command };
  const { result, changes } = registry.apply(registry.revision + 1, envelope);
  expect(result.type).to.equal('accepted');
  return changes.length;
}

const start = (zone: string): Command => ({ type: 'evacuation-start', zone });
const end = (zone: string): Command => ({ type: 'evacuation-end', zone });

describe('evacuations of zones', () => {
  it('apply only to upstreams of the zone, registered or not', () => {
    const registry = createRegistry();
    send(registry, start('b'));
    expect(registry.isLeaving(DEFINITION)).to.equal(true);
    expect(registry.isLeaving({ ...DEFINITION, zone: 'a' })).to.equal(false);
    send(registry, end('b'));
    expect(registry.isLeaving(DEFINITION)).to.equal(false);
  });

  it('change nothing when repeated, and each command reverses the other', () => {
    const registry = createRegistry();
    expect(send(registry, end('b'))).to.equal(0);
    expect(send(registry, start('b'))).to.equal(1);
    const [first] = registry.evacuations();
    expect(send(registry, start('b'))).to.equal(0);
    expect(registry.evacuations()).to.deep.equal([first]);
    expect(send(registry, end('b'))).to.equal(1);
    expect(send(registry, end('b'))).to.equal(0);
    expect(send(registry, start('b'))).to.equal(1);
    expect(registry.evacuations().map(({ zone }) => zone)).to.deep.equal(['b']);
  });

  it('are kept in a snapshot', () => {
    const registry = createRegistry();
    send(registry, start('b'));
    send(registry, start('c'));
    const restored = decodeRegistry(registry.encode());
    expect(restored.evacuations()).to.deep.equal(registry.evacuations());
    expect(restored.isLeaving(DEFINITION)).to.equal(true);
    expect(restored.encode()).to.deep.equal(registry.encode());
  });

  it('are sent to routers as changes and in full', () => {
    const registry = createRegistry();
    send(registry, { type: 'upstream-announce', definition: DEFINITION });
    const before = registry.revision;
    send(registry, start('b'));
    const delta = registry.routingDelta(before);
    const message = controlToRouterCodecs.encode({
      type: 'sync-news',
      delta: delta as NonNullable<typeof delta>,
    });
    const decoded = controlToRouterCodecs.decode(message.kind, message.payload);
    expect(decoded).to.deep.equal({ type: 'sync-news', delta });
    expect(registry.routingSnapshot().evacuations?.map(({ zone }) => zone)).to.deep.equal(['b']);
    const started = registry.revision;
    send(registry, end('b'));
    const last = registry.routingDelta(started);
    expect(last?.changes).to.deep.equal([{ type: 'evacuation', zone: 'b', record: null }]);
  });
});
