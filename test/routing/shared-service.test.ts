/** A kind that goes in parts to a service of others, short of room. */
import { expect } from 'chai';
import type { RouteDefinition } from '../../src/model/declaration.js';
import { CONFIG, RouterHarness, service, upstream } from './router-harness.js';

const BY_RANK = { ...CONFIG, roomByRank: true };

const HOST = 'menu.example';
const REQUESTS = 200;
const WORK_MILLIS = 50;

function routeOf(name: string, changes: Partial<RouteDefinition>) {
  const definition: RouteDefinition = {
    name,
    host: HOST,
    prefix: `/${name}/`,
    repeatable: true,
    timeoutMillis: 5000,
    targetMillis: 1000,
    maxAttempts: 2,
    priority: 0,
    split: [{ service: 'reads', weight: 1 }],
    ...changes,
  };
  return { type: 'route' as const, name, record: { definition, revision: 1 } };
}

/** Sends one request of each kind in the time that one takes; gives what became of them by kind and service. */
function playBoth(bulkRank: number) {
  const terms = { queueLimit: 20, holdLimitMillis: 5000, slotsPerUpstream: 1 };
  const services = [service('bundles', terms), service('reads', terms)];
  const harness = new RouterHarness(BY_RANK).start(services, [
    upstream('u1', 'bundles'),
    upstream('u2', 'reads'),
  ]);
  const split = [
    { service: 'bundles', weight: 75 },
    { service: 'reads', weight: 25 },
  ];
  harness.change([routeOf('bulk', { priority: bulkRank, targetMillis: 3000, split }), routeOf('own', {})]);
  const kindOf = new Map<number, string>();
  const went: Record<string, number> = {};
  const served: Record<string, number> = { bulk: 0, own: 0 };
  let seen = 0;
  const look = (): void => {
    for (const effect of harness.effects.slice(seen)) {
      if (effect.type === 'dispatch') {
        count(went, `${kindOf.get(effect.request)} at ${effect.upstream === 'u1' ? 'bundles' : 'reads'}`);
        pending.push({ attempt: effect.attempt, at: harness.now + WORK_MILLIS });
      } else if (effect.type === 'refuse') {
        count(went, `${kindOf.get(effect.request)} at ${effect.facts?.service}`);
      } else if (effect.type === 'deliver') {
        count(served, kindOf.get(effect.request) as string);
      }
    }
    seen = harness.effects.length;
  };
  const pending: { readonly attempt: number; readonly at: number }[] = [];
  const pass = (millis: number): void => {
    const end = harness.now + millis;
    while (pending[0] !== undefined && pending[0].at <= end) {
      harness.run(Math.max(0, pending[0].at - harness.now));
      harness.ended((pending.shift() as { readonly attempt: number }).attempt);
      look();
    }
    harness.run(end - harness.now);
    look();
  };
  for (let sent = 0; sent < REQUESTS; sent += 1) {
    for (const name of ['bulk', 'own']) {
      kindOf.set(harness.nextRequest, name);
      harness.request('', { place: { host: HOST, path: `/${name}/` } });
      look();
    }
    pass(WORK_MILLIS);
  }
  pass(6000);
  return { went, served };
}

function count(counts: Record<string, number>, name: string): void {
  counts[name] = (counts[name] ?? 0) + 1;
}

describe('a kind that goes in parts to a service of others', () => {
  it('keeps its shares exact, whatever is refused there', () => {
    const { went } = playBoth(2);
    expect((went['bulk at reads'] ?? 0) / REQUESTS).to.be.within(0.245, 0.255);
    expect((went['bulk at bundles'] ?? 0) / REQUESTS).to.be.within(0.745, 0.755);
  });

  it("can't push out the service's own where it is less important", () => {
    // The own kind asks for all that its service can do.
    expect((playBoth(2).served.own ?? 0) / REQUESTS).to.be.at.least(0.97);
  });

  it('shares by slack with the own of its rank', () => {
    const { own = 0, bulk = 0 } = playBoth(0).served;
    expect(own).to.be.above(0.7 * REQUESTS);
    expect(bulk).to.be.above(0.7 * REQUESTS);
  });
});
