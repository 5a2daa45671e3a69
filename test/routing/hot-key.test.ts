/** A key with more requests than its owner can serve must not take capacity from the owner's other keys. */
import { expect } from 'chai';
import { type CallerKind, inTimeShare, type KindResult, RankLoadWorld } from './rank-load.js';

const MAX_LOSS = 0.03;
const TERMS = { rank: 0, targetMillis: 800, deadlineMillis: 5500, returns: 2 };

function runOwner(routers: number, hotDemand: number, demand = 0.3): Readonly<Record<string, KindResult>> {
  const kinds: CallerKind[] = [
    { name: 'others', ...TERMS, demand, keys: 10 },
    { name: 'hot', ...TERMS, demand: hotDemand, keys: 1 },
  ];
  const load = { seed: 1, kinds, routers, upstreams: 1, slots: 3, workMillis: 220, countedMillis: 120_000 };
  return new RankLoadWorld(load).run().kinds;
}

describe('a key with five times as many requests as its owner can serve', function () {
  this.timeout(120_000);
  for (const routers of [1, 15, 76]) {
    it(`costs the owner's other keys nothing, with ${routers} routers`, () => {
      const without = inTimeShare(runOwner(routers, 0).others as KindResult);
      const beside = inTimeShare(runOwner(routers, 5).others as KindResult);
      expect(without - beside, `${without} without it, ${beside} beside it`).to.be.at.most(MAX_LOSS);
    });
  }

  it('is served from the capacity that they leave', () => {
    const { hot } = runOwner(15, 5);
    const left = (1 - 0.3) / 5;
    expect(((hot?.inTime ?? 0) + (hot?.late ?? 0)) / (hot?.sent ?? 1)).to.be.at.least(left / 2);
  });

  it('causes no limits while its owner can serve all requests', () => {
    const allKeysEqual = inTimeShare(runOwner(15, 0, 0.6).others as KindResult);
    const { others, hot } = runOwner(15, 0.3);
    expect(inTimeShare(others as KindResult)).to.be.at.least(allKeysEqual - MAX_LOSS);
    expect(inTimeShare(hot as KindResult)).to.be.at.least(allKeysEqual - MAX_LOSS);
  });
});
