/** A key that is asked for beyond what its owner can do: what the owner's other keys get. */
import { expect } from 'chai';
import { type CallerKind, inTimeShare, type KindResult, RankLoadWorld } from './rank-load.js';

const MOST_LOSS = 0.03;
const TERMS = { rank: 0, targetMillis: 800, deadlineMillis: 5500, returns: 2 };

function playOwner(routers: number, hotDemand: number, demand = 0.3): Readonly<Record<string, KindResult>> {
  const kinds: CallerKind[] = [
    { name: 'others', ...TERMS, demand, keys: 10 },
    { name: 'hot', ...TERMS, demand: hotDemand, keys: 1 },
  ];
  const load = { seed: 1, kinds, routers, upstreams: 1, slots: 3, workMillis: 220, countedMillis: 120_000 };
  return new RankLoadWorld(load).run().kinds;
}

describe('a key that is asked for five times as often as its owner can answer', function () {
  this.timeout(120_000);
  for (const routers of [1, 15, 76]) {
    it(`costs the owner's other keys nothing, with ${routers} routers`, () => {
      const without = inTimeShare(playOwner(routers, 0).others as KindResult);
      const beside = inTimeShare(playOwner(routers, 5).others as KindResult);
      expect(without - beside, `${without} without it, ${beside} beside it`).to.be.at.most(MOST_LOSS);
    });
  }

  it('is served from what they leave', () => {
    const { hot } = playOwner(15, 5);
    const left = (1 - 0.3) / 5;
    expect(((hot?.inTime ?? 0) + (hot?.late ?? 0)) / (hot?.sent ?? 1)).to.be.at.least(left / 2);
  });

  it('is no reason to hold anybody back while its owner keeps up', () => {
    const alike = inTimeShare(playOwner(15, 0, 0.6).others as KindResult);
    const { others, hot } = playOwner(15, 0.3);
    expect(inTimeShare(others as KindResult)).to.be.at.least(alike - MOST_LOSS);
    expect(inTimeShare(hot as KindResult)).to.be.at.least(alike - MOST_LOSS);
  });
});
