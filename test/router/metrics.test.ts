/** Metrics of a router are updated in batches: a scrape must be up to date, and nothing may be counted twice. */
import { expect } from 'chai';
import { RouterMetrics } from '../../src/router/metrics.js';
import type { RouterStatus } from '../../src/routing/types.js';

const STATUS: RouterStatus = {
  revision: 1,
  serving: true,
  queued: 0,
  inFlight: 0,
  unsettled: 0,
  limited: 0,
  resting: 0,
  relayed: { upstreams: 0, relays: 0 },
  leaving: 0,
  returns: { made: 0, kept: 0, broken: 0, hopeless: 0 },
  routes: [],
};
const ANSWERED = 'ternmount_router_requests_total{service="orders",answer="upstream",reason=""}';
const WITHIN_ONE_SECOND = 'ternmount_router_request_seconds_bucket{le="1",service="orders"}';
const DURATION_COUNT = 'ternmount_router_request_seconds_count{service="orders"}';
/** Larger than any batch. */
const MANY = 1000;

async function read(metrics: RouterMetrics, series: string): Promise<number> {
  const lines = (await metrics.registry.metrics()).split('\n');
  return Number(lines.find((line) => line.startsWith(`${series} `))?.slice(series.length + 1) ?? Number.NaN);
}

describe('metrics of a router', () => {
  it('include every answer and its duration at once, for any number of answers', async () => {
    const metrics = new RouterMetrics(() => STATUS);
    for (let answer = 1; answer <= MANY; answer += 1) {
      metrics.recordAnswer('orders', answer <= 10 ? 3 : 0.5, 'upstream');
      if (answer === 1 || answer === MANY) {
        expect(await read(metrics, ANSWERED)).to.equal(answer);
        expect(await read(metrics, DURATION_COUNT)).to.equal(answer);
      }
    }
    expect(await read(metrics, WITHIN_ONE_SECOND)).to.equal(MANY - 10);
  });

  it('are unchanged by a second scrape', async () => {
    const metrics = new RouterMetrics(() => STATUS);
    metrics.recordAnswer('orders', 0.5, 'upstream');
    metrics.recordAttempt('answered');
    for (const _scrape of [1, 2]) {
      expect(await read(metrics, ANSWERED)).to.equal(1);
      expect(await read(metrics, WITHIN_ONE_SECOND)).to.equal(1);
      expect(await read(metrics, 'ternmount_router_attempts_total{result="answered"}')).to.equal(1);
    }
  });

  it('have no series without observations', async () => {
    const metrics = new RouterMetrics(() => STATUS);
    metrics.recordAnswer('orders', 0.5, 'upstream');
    const stored = 'ternmount_router_requests_total{service="orders",answer="stored",reason=""}';
    expect(await read(metrics, stored)).to.be.NaN;
  });
});
