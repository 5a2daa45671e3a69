/** Callers who are refused for want of room and come back when told, in virtual time with the cores of several routers. */
import { expect } from 'chai';
import { type KindResult, type RankLoad, RankLoadWorld } from './rank-load.js';
import { ANSWERED, CONFIG, only, RouterHarness, service, upstream } from './router-harness.js';

const RESERVED = { ...CONFIG, returnTimes: 'reserved' } as const;

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

/** Callers of one rank, or of two, who come back twice; demand as parts of what all slots can do. */
function played(urgent: number, other: number): Record<string, KindResult> {
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

function refusalsForEachServed({ refusals, inTime, late }: KindResult): number {
  return refusals / (inTime + late);
}

describe('refused callers who come back when told', () => {
  for (const demand of [1.2, 1.5]) {
    it(`are refused less often than requests are wanted, at ${demand} of the capacity`, () => {
      const { urgent } = played(demand, 0) as { urgent: KindResult };
      expect(refusalsForEachServed(urgent)).to.be.at.most(demand);
      // Nobody loses a slot for it: about as many are served as there is room for.
      expect(urgent.never / urgent.sent).to.be.at.most(1 - 1 / demand + 0.03);
      expect(urgent.inTime).to.be.at.least(urgent.late);
    });
  }

  it('are told no time where there is none, and don’t come again', () => {
    const { other } = played(0.6, 1.2) as { other: KindResult };
    expect(other.toldNoTime).to.be.above(0);
    // Of three tries that one has who isn't served, half are spared at least.
    expect(refusalsForEachServed(other)).to.be.at.most(
      ((3 / 2) * other.never) / (other.sent - other.never) + 0.5,
    );
  });
});

describe('a router that refuses nobody', () => {
  it('promises nothing, and sends what comes as it came', () => {
    const harness = new RouterHarness(RESERVED).start(
      [service('web')],
      [upstream('u1', 'web'), upstream('u2', 'web')],
    );
    for (let count = 0; count < 20; count += 1) {
      const [dispatch] = only(harness.request('web', { deadlineMillis: 1000 }), 'dispatch');
      harness.ended(dispatch?.attempt as number, ANSWERED);
    }
    expect(harness.core.status().returns).to.deep.equal({ made: 0, kept: 0, broken: 0, hopeless: 0 });
  });

  it('promises nothing where a try failed and not for want of room', () => {
    const harness = new RouterHarness(RESERVED).start(
      [service('web', { retryBudget: 0 })],
      [upstream('u1', 'web')],
    );
    const [dispatch] = only(harness.request('web', { deadlineMillis: 1000 }), 'dispatch');
    harness.ended(dispatch?.attempt as number, { type: 'broken', how: 'reset' });
    expect(harness.core.status().returns.made).to.equal(0);
  });
});

describe('a caller who is refused for want of room', () => {
  /** A router with one slot that is taken, and one that waits for it. */
  function crowded(): { readonly harness: RouterHarness; readonly attempt: number } {
    const terms = { slotsPerUpstream: 1, holdLimitMillis: 1000, queueLimit: 4 };
    const harness = new RouterHarness(RESERVED).start([service('board', terms)], [upstream('u1', 'board')]);
    let attempt = only(harness.request('board'), 'dispatch')[0]?.attempt as number;
    for (let round = 0; round < 6; round += 1) {
      harness.request('board');
      harness.run(100);
      attempt = only(harness.ended(attempt, ANSWERED), 'dispatch')[0]?.attempt as number;
    }
    return { harness, attempt };
  }

  /** Refusals of so many who come in one moment with this much time left. */
  function refusals(harness: RouterHarness, count: number, deadlineMillis: number) {
    return Array.from({ length: count }, () => harness.request('board', { deadlineMillis })).flatMap(
      (effects) => only(effects, 'refuse'),
    );
  }

  it('is told a time that nobody else was told, within a third of what it has left, or none', () => {
    const told = refusals(crowded().harness, 30, 3000);
    const times = told.flatMap(({ retryAfterMillis }) => retryAfterMillis ?? []);
    expect(times.length).to.be.above(1);
    expect(new Set(times).size).to.equal(times.length);
    expect(Math.max(...times)).to.be.at.most(1000);
    expect(told.length).to.be.above(times.length);
  });

  it('finds in the record whether it was told a time', () => {
    const told = refusals(crowded().harness, 30, 3000);
    for (const { retryAfterMillis, facts } of told) {
      expect(facts?.returns).to.equal(retryAfterMillis === null ? 'none-in-time' : 'promised');
    }
  });

  it('goes before those who come first when it comes as told', () => {
    const { harness, attempt } = crowded();
    const [told] = refusals(harness, 8, 10_000);
    const waitMillis = told?.retryAfterMillis as number;
    let running = attempt;
    for (let waited = 0; waited + 50 <= waitMillis; waited += 50) {
      harness.run(50);
      running = only(harness.ended(running, ANSWERED), 'dispatch')[0]?.attempt ?? running;
    }
    harness.run(waitMillis % 50);
    const first = harness.nextRequest;
    only(harness.request('board', { deadlineMillis: 10_000 }), 'dispatch');
    only(harness.request('board', { deadlineMillis: 10_000 }), 'dispatch');
    const back = harness.nextRequest;
    harness.request('board', { deadlineMillis: 10_000 - waitMillis });
    const order: number[] = [];
    for (let round = 0; round < 12; round += 1) {
      const sent = only(harness.effects, 'dispatch');
      order.splice(0, order.length, ...sent.map(({ request }) => request));
      harness.ended(sent.at(-1)?.attempt as number, ANSWERED);
    }
    expect(harness.core.status().returns.kept).to.equal(1);
    // One slot: of those who came first at most the one that found it free was sent before.
    expect(order.indexOf(back)).to.be.within(0, order.indexOf(first + 1) - 1);
  });
});
