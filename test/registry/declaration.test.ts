/** The declared document: a rejected change changes nothing, and a resent change is accepted without being applied again. */
import { expect } from 'chai';
import {
  type Command,
  type CommandResult,
  createRegistry,
  type DeclarationChange,
  decodeRegistry,
  type Registry,
} from '../../src/registry/index.js';

const ROUTE = {
  name: 'sheets',
  host: 'menu.example',
  prefix: '/sheets/',
  type: 'safe',
  timeoutMillis: 1200,
  service: 'menu',
  note: 'kept as it came',
};
const ORDERS = { ...ROUTE, name: 'orders', prefix: '/orders/', type: 'unsafe', service: 'pantry' };
const SERVICES = [{ name: 'menu', keyed: true }, { name: 'pantry' }];

function change(
  version: number,
  expected: number,
  changes: Partial<DeclarationChange> = {},
): DeclarationChange {
  return {
    type: 'declaration-apply',
    version,
    expected,
    extent: 'whole',
    routes: [ROUTE, ORDERS],
    services: SERVICES,
    limits: null,
    removedRoutes: [],
    removedServices: [],
    ...changes,
  };
}

function send(registry: Registry, command: Command): CommandResult {
  const envelope = { requestId: null, actor: 'test', at: 0, command };
  return registry.apply(registry.revision + 1, envelope).result;
}

function registryWithDocument(): Registry {
  const registry = createRegistry();
  expect(send(registry, change(5, 0)).type).to.equal('accepted');
  return registry;
}

interface InvalidCase {
  readonly name: string;
  readonly change: DeclarationChange;
  readonly place: string;
}

const INVALID: readonly InvalidCase[] = [
  {
    name: 'a route to an unknown service',
    change: change(7, 5, { routes: [{ ...ROUTE, service: 'nobody' }] }),
    place: 'there is no service nobody',
  },
  {
    name: 'two routes with the same host and prefix',
    change: change(7, 5, { routes: [ROUTE, { ...ORDERS, prefix: '/sheets/', host: 'MENU.example' }] }),
    place: 'same host and prefix',
  },
  {
    name: 'an empty host',
    change: change(7, 5, { routes: [{ ...ROUTE, host: '' }] }),
    place: 'routes[0].host',
  },
  {
    name: 'an unknown type',
    change: change(7, 5, { routes: [{ ...ROUTE, type: 'often' }] }),
    place: 'routes[0].type',
  },
  {
    name: 'a timeout of 0',
    change: change(7, 5, { routes: [{ ...ROUTE, timeoutMillis: 0 }] }),
    place: 'routes[0].timeoutMillis',
  },
  {
    name: 'a split whose weights are all 0',
    change: change(7, 5, { routes: [{ ...ROUTE, split: [{ service: 'menu', weight: 0 }] }] }),
    place: 'routes[0].split',
  },
  { name: 'an older version', change: change(4, 5), place: 'version' },
  {
    name: 'the current version',
    change: change(5, 5, { services: [...SERVICES, { name: 'x' }] }),
    place: 'version',
  },
  {
    name: 'a partial change that removes a service in use',
    change: change(7, 5, { extent: 'partial', routes: [], services: [], removedServices: ['pantry'] }),
    place: 'there is no service pantry',
  },
];

describe('declared document', () => {
  for (const { name, change: invalid, place } of INVALID) {
    it(`rejects ${name} with the path of the field and changes nothing`, () => {
      const registry = registryWithDocument();
      const before = registry.routingSnapshot();
      const result = send(registry, invalid);
      expect(result).to.have.property('type', 'invalid');
      expect(result).to.have.property('message').that.includes(place);
      const { revision: _before, ...unchanged } = before;
      const { revision: _after, ...now } = registry.routingSnapshot();
      expect(now).to.deep.equal(unchanged);
    });
  }

  it('accepts only one of two changes based on the same version', () => {
    const registry = registryWithDocument();
    expect(send(registry, change(7, 5)).type).to.equal('accepted');
    const lost = send(registry, change(8, 5, { routes: [ROUTE] }));
    expect(lost).to.deep.equal({ type: 'conflict', current: 7 });
  });

  it('accepts only one of two changes with the same new version', () => {
    const registry = registryWithDocument();
    expect(send(registry, change(7, 5)).type).to.equal('accepted');
    expect(send(registry, change(7, 5, { routes: [ROUTE] }))).to.deep.equal({ type: 'conflict', current: 7 });
  });

  it('accepts a resent change after others and after a snapshot, and does not apply it again', () => {
    const registry = registryWithDocument();
    send(registry, change(7, 5));
    send(registry, change(9, 7, { routes: [ROUTE] }));
    const restored = decodeRegistry(registry.encode());
    for (const copy of [registry, restored]) {
      expect(send(copy, change(7, 5)).type).to.equal('accepted');
      expect(copy.declaredDocument()).to.have.property('version', 9);
      expect(copy.declaredDocument()?.routes).to.deep.equal([ROUTE]);
    }
  });

  it('returns the document as it was sent', () => {
    const limits = { headerBytes: 1000, extra: true };
    const registry = createRegistry();
    send(registry, change(5, 0, { limits }));
    const expected = { version: 5, routes: [ROUTE, ORDERS], services: SERVICES, limits };
    expect(registry.declaredDocument()).to.deep.equal(expected);
    expect(decodeRegistry(registry.encode()).declaredDocument()).to.deep.equal(expected);
  });

  it('changes and removes named items, and sends only those to routers', () => {
    const registry = registryWithDocument();
    const from = registry.revision;
    const moved = { ...ROUTE, timeoutMillis: 900 };
    const partial = { extent: 'partial', routes: [moved], services: [], removedRoutes: ['orders'] } as const;
    expect(send(registry, change(6, 5, partial)).type).to.equal('accepted');
    expect(registry.declaredDocument()?.routes).to.deep.equal([moved]);
    const changed = registry
      .routingDelta(from)
      ?.changes.map((item) => `${item.type} ${'name' in item ? item.name : ''}`);
    expect(changed).to.have.members(['route sheets', 'route orders', 'declaration ']);
  });

  it('creates keyed services with one unowned range, and removes it with the service', () => {
    const registry = registryWithDocument();
    expect(registry.ranges('menu')).to.have.length(1);
    expect(registry.ranges('menu')[0]).to.include({ from: 0, to: 65_535, owner: null });
    expect(registry.ranges('pantry')).to.deep.equal([]);
    send(registry, change(6, 5, { routes: [ORDERS], services: [{ name: 'pantry' }] }));
    expect(registry.ranges('menu')).to.deep.equal([]);
  });
});
