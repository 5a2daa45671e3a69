/** A route whose traffic split sends part of its requests to another route's service, which lacks capacity. */
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

/** Sends one request of each route per service time; returns the outcomes by route and service. */
function runBothRoutes(bulkRank: number) {
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
  const routeNameOf = new Map<number, string>();
  const outcomes: Record<string, number> = {};
  const served: Record<string, number> = { bulk: 0, own: 0 };
  let collected = 0;
  const collect = (): void => {
    for (const effect of harness.effects.slice(collected)) {
      if (effect.type === 'dispatch') {
        count(
          outcomes,
          `${routeNameOf.get(effect.request)} at ${effect.upstream === 'u1' ? 'bundles' : 'reads'}`,
        );
        pending.push({ attempt: effect.attempt, at: harness.now + WORK_MILLIS });
      } else if (effect.type === 'refuse') {
        count(outcomes, `${routeNameOf.get(effect.request)} at ${effect.facts?.service}`);
      } else if (effect.type === 'deliver') {
        count(served, routeNameOf.get(effect.request) as string);
      }
    }
    collected = harness.effects.length;
  };
  const pending: { readonly attempt: number; readonly at: number }[] = [];
  const advance = (millis: number): void => {
    const end = harness.now + millis;
    while (pending[0] !== undefined && pending[0].at <= end) {
      harness.run(Math.max(0, pending[0].at - harness.now));
      harness.ended((pending.shift() as { readonly attempt: number }).attempt);
      collect();
    }
    harness.run(end - harness.now);
    collect();
  };
  for (let sent = 0; sent < REQUESTS; sent += 1) {
    for (const name of ['bulk', 'own']) {
      routeNameOf.set(harness.nextRequest, name);
      harness.request('', { place: { host: HOST, path: `/${name}/` } });
      collect();
    }
    advance(WORK_MILLIS);
  }
  advance(6000);
  return { outcomes, served };
}

function count(counts: Record<string, number>, name: string): void {
  counts[name] = (counts[name] ?? 0) + 1;
}

describe('a route with a traffic split to another route’s service', () => {
  it('keeps exact shares even if requests are refused there', () => {
    const { outcomes } = runBothRoutes(2);
    expect((outcomes['bulk at reads'] ?? 0) / REQUESTS).to.be.within(0.245, 0.255);
    expect((outcomes['bulk at bundles'] ?? 0) / REQUESTS).to.be.within(0.745, 0.755);
  });

  it("can't displace the service's own requests if it is less important", () => {
    // The demand of the service's own route equals the capacity of the service.
    expect((runBothRoutes(2).served.own ?? 0) / REQUESTS).to.be.at.least(0.97);
  });

  it('shares by slack with the service’s own requests of the same rank', () => {
    const { own = 0, bulk = 0 } = runBothRoutes(0).served;
    expect(own).to.be.above(0.7 * REQUESTS);
    expect(bulk).to.be.above(0.7 * REQUESTS);
  });
});
