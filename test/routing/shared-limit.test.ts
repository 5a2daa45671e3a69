/**
 * A fleet of routers shares an upstream's rate limit. In any four seconds it sends at most one and a half times the limit plus five requests,
 * whatever happens to control, routers and callers, and it uses most of the limit. Arrivals are counted at the upstream.
 */
import { expect } from 'chai';
import { type FleetOptions, type FleetResult, LimitedFleet } from './limited-fleet.js';

const LIMIT_FROM = 2000;
const MILLIS = 16_000;
const SEEDS = Array.from({ length: 4 }, (_, index) => index + 1);

function limitOf(perSecond: number): (millis: number) => number | null {
  return (millis) => (millis < LIMIT_FROM ? null : perSecond);
}

const LOW = { limitAt: limitOf(2.3), millis: MILLIS, demand: 20 };

function runSeeds(options: Omit<FleetOptions, 'seed'>): FleetResult[] {
  return SEEDS.map((seed) => new LimitedFleet({ ...options, seed }).run());
}

function worstOf(results: readonly FleetResult[]): number {
  return Math.max(...results.map(({ worstExcess }) => worstExcess));
}

function meanUse(results: readonly FleetResult[]): number {
  return results.reduce((sum, { usedShare }) => sum + usedShare, 0) / results.length;
}

const SCENARIOS: Readonly<Record<string, Partial<FleetOptions>>> = {
  'even demand': {},
  'one router with nine tenths of the demand': { hotShare: 0.9 },
  'slow answers that carry an old limit': { slowShare: 0.2 },
  'a new leader, while the previous one continues': {
    elections: [
      { at: 6000, isSplit: true },
      { at: 10_000, isSplit: true },
    ],
  },
  'half of the routers cut off from control for six seconds': { cut: { from: 6000, to: 12_000, share: 0.5 } },
  'a rolling restart of routers': {
    restarts: Array.from({ length: 20 }, (_, index) => ({ at: 5000 + 200 * index, router: index % 11 })),
  },
  'a limit that changes': {
    limitAt: (millis) => (millis < LIMIT_FROM ? null : ([20, 2, 8, 0.5][Math.floor(millis / 2500) % 4] ?? 0)),
    demand: 60,
  },
  'a limit of nothing': { limitAt: limitOf(0) },
  'callers that cancel before their permit arrives, then many': {
    controlMillis: 40,
    impatience: { from: 4000, to: 11_000, millis: 30 },
    demand: 10,
    laterDemand: { from: 11_000, demand: 200 },
  },
};

describe('a rate limit shared by routers', () => {
  for (const routers of [11, 76, 300]) {
    for (const [name, scenario] of Object.entries(SCENARIOS)) {
      it(`is kept by ${routers} routers: ${name}`, () => {
        expect(worstOf(runSeeds({ routers, ...LOW, ...scenario }))).to.be.at.most(0);
      });
    }
  }

  it('is used to nine tenths under even demand, to seven tenths by one busy router and by 300', () => {
    expect(meanUse(runSeeds({ routers: 11, ...LOW }))).to.be.above(0.85);
    expect(meanUse(runSeeds({ routers: 11, ...LOW, hotShare: 0.9 }))).to.be.above(0.7);
    expect(meanUse(runSeeds({ routers: 300, ...LOW }))).to.be.above(0.65);
    expect(meanUse(runSeeds({ routers: 300, ...LOW, hotShare: 0.9 }))).to.be.above(0.7);
  });

  it('admits nearly all of a demand below it', () => {
    for (const { served, refused } of runSeeds({ routers: 11, ...LOW, limitAt: limitOf(20), demand: 10 })) {
      expect(refused).to.be.below((served + refused) * 0.05);
    }
  });

  it('is seen to be exceeded if each router uses the whole limit', () => {
    expect(worstOf(runSeeds({ routers: 11, ...LOW, sabotage: 'whole-limit-each' }))).to.be.above(0);
  });

  it('is seen to be exceeded if permits never expire', () => {
    const scenario = SCENARIOS['callers that cancel before their permit arrives, then many'];
    const laterDemand = { from: 11_000, demand: 3000 };
    const hoarding = { routers: 300, ...LOW, ...scenario, limitAt: limitOf(8), demand: 80, laterDemand };
    expect(worstOf(runSeeds(hoarding))).to.be.at.most(0);
    expect(worstOf(runSeeds({ ...hoarding, sabotage: 'permits-never-expire' }))).to.be.above(0);
  });

  it('is seen to be exceeded if a new leader issues permits while the previous one still does', () => {
    const elections = [5000, 6000, 7000].map((at) => ({ at, isSplit: true }));
    const results = runSeeds({ routers: 11, ...LOW, demand: 40, elections, sabotage: 'two-issuers' });
    expect(worstOf(results)).to.be.above(0);
  });

  it('is seen to be exceeded if routers don’t read the notices', () => {
    expect(worstOf(runSeeds({ routers: 11, ...LOW, sabotage: 'notices-unread' }))).to.be.above(0);
  });
});
