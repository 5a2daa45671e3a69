/** The declared time for which keys received without a handover are slow. */
import { expect } from 'chai';
import { type CommandResult, createRegistry, type Registry } from '../../src/registry/index.js';

function declare(registry: Registry, service: object): CommandResult {
  const command = {
    type: 'declaration-apply',
    version: 1,
    expected: 0,
    extent: 'whole',
    routes: [],
    services: [{ name: 'menu', keyed: true, ...service }],
    limits: null,
    removedRoutes: [],
    removedServices: [],
  } as const;
  const envelope = { requestId: null, actor: 'test', at: 0, command };
  return registry.apply(registry.revision + 1, envelope).result;
}

function unwarmedMillis(service: object): number | undefined {
  const registry = createRegistry();
  expect(declare(registry, service).type).to.equal('accepted');
  return registry.services().get('menu')?.definition.unwarmedKeyMillis;
}

describe('the declared warmup time of keys without handover', () => {
  it('is stored in the service in milliseconds', () => {
    expect(unwarmedMillis({ warmSeconds: 2.5 })).to.equal(2500);
  });

  it('is left out if it is not declared, is 0, or the service is not keyed', () => {
    expect(unwarmedMillis({})).to.equal(undefined);
    expect(unwarmedMillis({ warmSeconds: 0 })).to.equal(undefined);
    expect(unwarmedMillis({ keyed: false, warmSeconds: 2 })).to.equal(undefined);
  });

  it('is rejected with the path of the field if it is not a valid time', () => {
    for (const warmSeconds of [-1, '2', 1e9]) {
      const result = declare(createRegistry(), { warmSeconds });
      expect(result.type).to.equal('invalid');
      expect(JSON.stringify(result)).to.contain('services[0].warmSeconds');
    }
  });
});
