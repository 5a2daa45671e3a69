/** The order in which waiting requests get slots, and which ones are evicted for which. */
import { expect } from 'chai';
import type { RouteDefinition } from '../../src/model/declaration.js';
import { RankedQueue } from '../../src/routing/queue/ranked-queue.js';
import type { RouterContext } from '../../src/routing/router-context.js';
import type { ArrivedRequest, RouterEffect } from '../../src/routing/types.js';
import { CONFIG, effectsOfType, onlyShard, RouterHarness, service, upstream } from './router-harness.js';

const RANKED_CONFIG = { ...CONFIG, roomByRank: true };

const HOST = 'menu.example';
const SERVICE_MILLIS = 100;

interface Kind {
  readonly name: string;
  readonly priority: number;
  readonly targetMillis: number;
}

function start(
  kinds: readonly Kind[],
  options: { readonly keyed?: boolean; readonly queueLimit?: number } = {},
) {
  const { keyed = false, queueLimit = 50 } = options;
  const record = service('menu', { keyed, queueLimit, holdLimitMillis: 10_000, slotsPerUpstream: 1 });
  const shards = keyed ? [onlyShard('menu', 'u1', 3)] : [];
  const harness = new RouterHarness(RANKED_CONFIG).start([record], [upstream('u1', 'menu')], shards);
  harness.change(kinds.map((kind) => ({ type: 'route', name: kind.name, record: routeOf(kind) })));
  return harness;
}

function routeOf({ name, priority, targetMillis }: Kind) {
  const definition: RouteDefinition = {
    name,
    host: HOST,
    prefix: `/${name}/`,
    repeatable: true,
    timeoutMillis: 20_000,
    targetMillis,
    maxAttempts: 2,
    priority,
    split: [{ service: 'menu', weight: 1 }],
  };
  return { definition, revision: 1 };
}

function send(harness: RouterHarness, name: string, changes: Partial<ArrivedRequest> = {}): RouterEffect[] {
  return harness.request('', { place: { host: HOST, path: `/${name}/` }, ...changes });
}

/** Occupies the only slot and measures one request. */
function occupy(harness: RouterHarness, name: string, key: string | null = null): number {
  for (let round = 0; round < 2; round += 1) {
    const [first] = effectsOfType(send(harness, name, { key }), 'dispatch');
    if (round === 1) {
      return first?.attempt as number;
    }
    harness.run(SERVICE_MILLIS);
    harness.ended(first?.attempt as number);
  }
  return 0;
}

/** Frees the slot repeatedly and returns the requests in the order in which they were sent. */
function drain(harness: RouterHarness, firstAttempt: number, count: number): number[] {
  const order: number[] = [];
  let attempt = firstAttempt;
  for (let round = 0; round < count; round += 1) {
    harness.run(SERVICE_MILLIS);
    const [next] = effectsOfType(harness.ended(attempt), 'dispatch');
    if (next === undefined) {
      return order;
    }
    order.push(next.request);
    attempt = next.attempt;
  }
  return order;
}

const URGENT: Kind = { name: 'urgent', priority: 0, targetMillis: 2000 };
const OTHER: Kind = { name: 'other', priority: 2, targetMillis: 9000 };

describe('the order of waiting requests', () => {
  it('is that of arrival on one rank and one target', () => {
    const harness = start([OTHER]);
    const attempt = occupy(harness, 'other');
    const first = harness.nextRequest;
    for (let count = 0; count < 5; count += 1) {
      send(harness, 'other', { deadlineMillis: 20_000 - 2500 * count });
    }
    expect(drain(harness, attempt, 5)).to.deep.equal([0, 1, 2, 3, 4].map((step) => first + step));
  });

  it('is by rank first', () => {
    const harness = start([URGENT, OTHER]);
    const attempt = occupy(harness, 'other');
    const first = harness.nextRequest;
    send(harness, 'other');
    send(harness, 'urgent');
    send(harness, 'other');
    send(harness, 'urgent');
    expect(drain(harness, attempt, 4)).to.deep.equal([first + 1, first + 3, first, first + 2]);
  });

  it('is by least slack within a rank', () => {
    const slow: Kind = { name: 'slow', priority: 0, targetMillis: 6000 };
    const harness = start([URGENT, slow]);
    const attempt = occupy(harness, 'slow');
    const first = harness.nextRequest;
    send(harness, 'slow');
    send(harness, 'urgent');
    expect(drain(harness, attempt, 2)).to.deep.equal([first + 1, first]);
  });

  it('puts requests that can be answered in time before those that can not any more', () => {
    const short: Kind = { name: 'short', priority: 0, targetMillis: 150 };
    const harness = start([short, OTHER]);
    const attempt = occupy(harness, 'other');
    const first = harness.nextRequest;
    send(harness, 'short');
    harness.run(SERVICE_MILLIS);
    send(harness, 'other');
    const order = drain(harness, attempt, 2);
    expect(order[0]).to.equal(first + 1);
  });

  it('is by rank at the owner of keys', () => {
    const harness = start([URGENT, OTHER], { keyed: true });
    const attempt = occupy(harness, 'other', 'k');
    const first = harness.nextRequest;
    send(harness, 'other', { key: 'k' });
    send(harness, 'urgent', { key: 'k' });
    expect(drain(harness, attempt, 2)).to.deep.equal([first + 1, first]);
  });
});

/** Returns the requests that were refused after they had been sent. */
function refusedAfterSent(harness: RouterHarness): number[] {
  const dispatched = new Set(effectsOfType(harness.effects, 'dispatch').map(({ request }) => request));
  const refused = effectsOfType(harness.effects, 'refuse').map(({ request }) => request);
  return refused.filter((request) => dispatched.has(request));
}

describe('a less important waiting request', () => {
  function full() {
    const harness = start([URGENT, OTHER], { queueLimit: 3 });
    const attempt = occupy(harness, 'other');
    const first = harness.nextRequest;
    for (let count = 0; count < 3; count += 1) {
      send(harness, 'other');
    }
    return { harness, attempt, first };
  }

  it('is evicted at once, the last one first, with an accurate refusal', () => {
    const { harness, first } = full();
    const [refusal] = effectsOfType(send(harness, 'urgent'), 'refuse');
    expect(refusal).to.include({ request: first + 2, reason: 'gave-way', outcome: 'not-run', status: 503 });
    expect(refusal?.retryAfterMillis).to.be.above(0);
  });

  it('is never refused once it was sent', () => {
    const { harness } = full();
    for (let count = 0; count < 10; count += 1) {
      send(harness, 'urgent');
    }
    expect(refusedAfterSent(harness)).to.deep.equal([]);
  });

  it('fails the previous test if it is refused after it was sent (sabotage)', () => {
    const { evictionCandidate } = RankedQueue.prototype;
    const { harness } = full();
    const { attempts } = (harness.core as unknown as { readonly context: RouterContext }).context;
    RankedQueue.prototype.evictionCandidate = () => [...attempts.values()][0]?.group;
    try {
      send(harness, 'urgent');
    } finally {
      RankedQueue.prototype.evictionCandidate = evictionCandidate;
    }
    expect(refusedAfterSent(harness)).to.not.deep.equal([]);
  });

  it('is counted by route and rank, and its refusal holds the facts of the decision', () => {
    const { harness } = full();
    send(harness, 'urgent');
    harness.run(260);
    const [refusal] = effectsOfType(send(harness, 'urgent'), 'refuse');
    expect(refusal?.facts?.order).to.include({ rank: 2, ahead: 2 });
    const tallies = harness.core
      .status()
      .routes.map(({ route, rank, waiting, sent, refused, gaveWay }) => [
        route,
        rank,
        { waiting, sent, refused, gaveWay },
      ]);
    expect(tallies).to.deep.equal([
      ['other', 2, { waiting: 1, sent: 2, refused: 2, gaveWay: 2 }],
      ['urgent', 0, { waiting: 2, sent: 0, refused: 0, gaveWay: 0 }],
    ]);
  });

  it('is not evicted for a request that is refused itself', () => {
    const { harness } = full();
    const refused = effectsOfType(send(harness, 'urgent', { deadlineMillis: 1 }), 'refuse');
    expect(refused.map(({ reason }) => reason)).to.not.include('gave-way');
  });

  it('is not evicted for a request of the same rank', () => {
    const { harness, first } = full();
    const refused = effectsOfType(send(harness, 'other'), 'refuse');
    expect(refused.map(({ request, reason }) => [request, reason])).to.deep.equal([
      [first + 3, 'queue-full'],
    ]);
  });

  it('does not count for the admission of an urgent request, which waits only behind urgent ones', () => {
    const harness = start([{ ...URGENT, targetMillis: 500 }, OTHER], { queueLimit: 100 });
    const attempt = occupy(harness, 'other');
    for (let count = 0; count < 40; count += 1) {
      send(harness, 'other');
    }
    const urgent = harness.nextRequest;
    expect(effectsOfType(send(harness, 'urgent'), 'refuse').map(({ request }) => request)).to.not.include(
      urgent,
    );
    expect(drain(harness, attempt, 1)).to.deep.equal([urgent]);
  });
});

describe('capacity at an upstream that announced its slots', () => {
  const announced = { slots: 2, warmupMillis: 0 };
  function roomAfter(kinds: readonly Kind[], load: number, config = RANKED_CONFIG): boolean {
    const record = service('menu', { queueLimit: 50, holdLimitMillis: 10_000 });
    const harness = new RouterHarness(config).start([record], [upstream('u1', 'menu', { announced })]);
    harness.change(kinds.map((kind) => ({ type: 'route', name: kind.name, record: routeOf(kind) })));
    for (const { name } of kinds) {
      const [sent] = effectsOfType(send(harness, name), 'dispatch');
      harness.run(SERVICE_MILLIS);
      const result = { type: 'answered', status: 200, load, stored: null } as const;
      harness.ended(sent?.attempt as number, result);
    }
    return effectsOfType(send(harness, 'other'), 'dispatch').length === 1;
  }

  it('is the same as without ranks if there is only one rank', () => {
    expect(roomAfter([OTHER], 2)).to.equal(true);
    expect(roomAfter([OTHER], 5)).to.equal(false);
  });

  it('is the same as without ranks if only a few requests are more important', () => {
    const many = Array.from({ length: 60 }, () => OTHER);
    expect(roomAfter([...many, URGENT], 2)).to.equal(true);
    expect(roomAfter([...many, URGENT, URGENT], 2)).to.equal(true);
  });

  it('is not reserved for more important ranks without the setting', () => {
    expect(roomAfter([OTHER, URGENT, URGENT], 2, { ...CONFIG, roomByRank: false })).to.equal(true);
  });

  it('is reserved for more important requests if there are some', () => {
    expect(roomAfter([OTHER, URGENT, URGENT], 2)).to.equal(false);
    expect(roomAfter([OTHER, URGENT, URGENT], 0)).to.equal(true);
  });
});
