/**
 * Callers that are refused for lack of capacity and return after their retry delay, in virtual time with the cores of several routers.
 */
import { expect } from 'chai';
import { type KindResult, type RankLoad, RankLoadWorld } from './rank-load.js';
import { ANSWERED, CONFIG, effectsOfType, RouterHarness, service, upstream } from './router-harness.js';

const RESERVED_CONFIG = { ...CONFIG, returnTimes: 'reserved' } as const;

const LOAD: RankLoad = {
  seed: 1,
  kinds: [],
  routers: 4,
  upstreams: 6,
  slots: 3,
  workMillis: 220,
  returnTimes: 'reserved',
};
const SEEDS = [1, 2, 3];

/** Plays callers of one or two ranks that return up to twice; demand is a share of the capacity of all slots. */
function play(urgent: number, other: number): Record<string, KindResult> {
  const kinds = [
    { name: 'urgent', rank: 0, targetMillis: 800, deadlineMillis: 5500, demand: urgent, returns: 2 },
    { name: 'other', rank: 2, targetMillis: 2500, deadlineMillis: 8700, demand: other, returns: 2 },
  ].filter(({ demand }) => demand > 0);
  const sums: Record<string, KindResult> = {};
  for (const seed of SEEDS) {
    for (const [name, result] of Object.entries(new RankLoadWorld({ ...LOAD, kinds, seed }).run().kinds)) {
      const sum = sums[name] ?? { ...result };
      if (sums[name] !== undefined) {
        for (const field of Object.keys(result) as (keyof KindResult)[]) {
          sum[field] += result[field];
        }
      }
      sums[name] = sum;
    }
  }
  return sums;
}

function refusalsPerServed({ refusals, inTime, late }: KindResult): number {
  return refusals / (inTime + late);
}

describe('refused callers that return after their retry delay', () => {
  for (const demand of [1.2, 1.5]) {
    it(`are refused less often than the demand ratio, at ${demand} of the capacity`, () => {
      const { urgent } = play(demand, 0) as { urgent: KindResult };
      expect(refusalsPerServed(urgent)).to.be.at.most(demand);
      // No slot is lost by this: about as many callers are served as there is capacity for.
      expect(urgent.never / urgent.sent).to.be.at.most(1 - 1 / demand + 0.03);
      expect(urgent.inTime).to.be.at.least(urgent.late);
    });
  }

  it('get no retry delay if no time is useful, and don’t come again', () => {
    const { other } = play(0.6, 1.2) as { other: KindResult };
    expect(other.withoutRetryDelay).to.be.above(0);
    // An unserved caller tries three times; at least half of these tries are spared.
    expect(refusalsPerServed(other)).to.be.at.most(
      ((3 / 2) * other.never) / (other.sent - other.never) + 0.5,
    );
  });
});

describe('a router that refuses no caller', () => {
  it('reserves no return times, and sends requests as they arrive', () => {
    const harness = new RouterHarness(RESERVED_CONFIG).start(
      [service('web')],
      [upstream('u1', 'web'), upstream('u2', 'web')],
    );
    for (let count = 0; count < 20; count += 1) {
      const [dispatch] = effectsOfType(harness.request('web', { deadlineMillis: 1000 }), 'dispatch');
      harness.ended(dispatch?.attempt as number, ANSWERED);
    }
    expect(harness.core.status().returns).to.deep.equal({ made: 0, kept: 0, broken: 0, hopeless: 0 });
  });

  it('reserves no return time if an attempt failed for another reason than lack of capacity', () => {
    const harness = new RouterHarness(RESERVED_CONFIG).start(
      [service('web', { retryBudget: 0 })],
      [upstream('u1', 'web')],
    );
    const [dispatch] = effectsOfType(harness.request('web', { deadlineMillis: 1000 }), 'dispatch');
    harness.ended(dispatch?.attempt as number, { type: 'broken', how: 'reset' });
    expect(harness.core.status().returns.made).to.equal(0);
  });
});

describe('a caller that is refused for lack of capacity', () => {
  /** A router whose only slot is taken, and one request that waits for it. */
  function startCrowded(): { readonly harness: RouterHarness; readonly attempt: number } {
    const terms = { slotsPerUpstream: 1, holdLimitMillis: 1000, queueLimit: 4 };
    const harness = new RouterHarness(RESERVED_CONFIG).start(
      [service('board', terms)],
      [upstream('u1', 'board')],
    );
    let attempt = effectsOfType(harness.request('board'), 'dispatch')[0]?.attempt as number;
    for (let round = 0; round < 6; round += 1) {
      harness.request('board');
      harness.run(100);
      attempt = effectsOfType(harness.ended(attempt, ANSWERED), 'dispatch')[0]?.attempt as number;
    }
    return { harness, attempt };
  }

  /** Returns the refusals of `count` requests that arrive at the same time with this much time left. */
  function refusals(harness: RouterHarness, count: number, deadlineMillis: number) {
    return Array.from({ length: count }, () => harness.request('board', { deadlineMillis })).flatMap(
      (effects) => effectsOfType(effects, 'refuse'),
    );
  }

  it('gets a unique retry delay within a third of the time that it has left, or none', () => {
    const refused = refusals(startCrowded().harness, 30, 3000);
    const times = refused.flatMap(({ retryAfterMillis }) => retryAfterMillis ?? []);
    expect(times.length).to.be.above(1);
    expect(new Set(times).size).to.equal(times.length);
    expect(Math.max(...times)).to.be.at.most(1000);
    expect(refused.length).to.be.above(times.length);
  });

  it('gets a record of whether it got a return time', () => {
    const refused = refusals(startCrowded().harness, 30, 3000);
    for (const { retryAfterMillis, facts } of refused) {
      expect(facts?.returns).to.equal(retryAfterMillis === null ? 'none-in-time' : 'promised');
    }
  });

  it('goes before new arrivals when it returns on time', () => {
    const { harness, attempt } = startCrowded();
    const [refused] = refusals(harness, 8, 10_000);
    const waitMillis = refused?.retryAfterMillis as number;
    let running = attempt;
    for (let waited = 0; waited + 50 <= waitMillis; waited += 50) {
      harness.run(50);
      running = effectsOfType(harness.ended(running, ANSWERED), 'dispatch')[0]?.attempt ?? running;
    }
    harness.run(waitMillis % 50);
    const first = harness.nextRequest;
    effectsOfType(harness.request('board', { deadlineMillis: 10_000 }), 'dispatch');
    effectsOfType(harness.request('board', { deadlineMillis: 10_000 }), 'dispatch');
    const back = harness.nextRequest;
    harness.request('board', { deadlineMillis: 10_000 - waitMillis });
    const order: number[] = [];
    for (let round = 0; round < 12; round += 1) {
      const sent = effectsOfType(harness.effects, 'dispatch');
      order.splice(0, order.length, ...sent.map(({ request }) => request));
      harness.ended(sent.at(-1)?.attempt as number, ANSWERED);
    }
    expect(harness.core.status().returns.kept).to.equal(1);
    // Since there is only one slot, at most the new request that found it free is sent earlier.
    expect(order.indexOf(back)).to.be.within(0, order.indexOf(first + 1) - 1);
  });
});
