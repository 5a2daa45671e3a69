/**
 * How many requests all routers together send a cold upstream in one second, and how soon they use what it bears. The bound of the
 * load played here is 4.2 * 1.5 + 8 = 14.3 in any second; 4.2 a second is what the upstream bears.
 */
import { expect } from 'chai';
import type { RoundPlace } from '../../src/model/router-turn.js';
import { Random } from '../../src/routing/random.js';
import { turnsPerSecond, WarmupTurns } from '../../src/routing/room/warmup-turns.js';

const TERMS = { perSecond: 4.2, millis: 3000 };
const BOUNDS = { overrunFactor: 1.5, marginRequests: 8 };
const MOST_IN_A_SECOND = TERMS.perSecond * BOUNDS.overrunFactor + BOUNDS.marginRequests;
const RATE = turnsPerSecond(TERMS, BOUNDS);
const STEP_MILLIS = 5;
/** How far apart routers in touch hear of the same change. */
const NEWS_SPREAD_MILLIS = 120;

interface Fleet {
  readonly routers: number;
  /** Requests a second at each router that could go to the upstream. */
  readonly demand: number;
  readonly seed: number;
  readonly millis?: number;
}

/** One way to share what a cold upstream bears: makes the rule of one router. */
type Way = (place: RoundPlace, heardAt: number, random: Random) => (now: number) => boolean;

/** Turns in rounds, as they are. */
const byTurns: Way = (place, heardAt) => {
  const turns = new WarmupTurns('u1', heardAt);
  return (now) => {
    const isDue = now >= heardAt && turns.isDue(place, RATE, now);
    if (isDue) {
      turns.use(place, RATE, now);
    }
    return isDue;
  };
};

/** A bucket of one token at each router, filled with its share of the rate, which keeps what isn't used. */
const byBuckets: Way = ({ routers }, heardAt) => {
  let tokens = 1;
  let filledAt = heardAt;
  return (now) => {
    tokens = Math.min(1, tokens + ((now - filledAt) * RATE) / routers / 1000);
    filledAt = now;
    const isDue = tokens >= 1;
    tokens -= isDue ? 1 : 0;
    return isDue;
  };
};

/** No rule but slow start, which gives it a tenth of its part at first. */
const bySlowStart: Way = (_place, _heardAt, random) => () => random.below(10) === 0;

/** When requests were sent. */
function sentTimes(way: Way, { routers, demand, seed, millis = TERMS.millis }: Fleet): number[] {
  const random = new Random(seed);
  const rules = Array.from({ length: routers }, (_, index) => {
    const heardAt = random.below(NEWS_SPREAD_MILLIS);
    return way({ phaseShare: index / routers, routers }, heardAt, random);
  });
  const sent: number[] = [];
  for (let now = 0; now < millis; now += STEP_MILLIS) {
    for (const mayGo of rules) {
      const arrives = random.below(100_000) < (demand * STEP_MILLIS * 100_000) / 1000;
      if (arrives && mayGo(now)) {
        sent.push(now);
      }
    }
  }
  return sent;
}

function mostInASecond(times: readonly number[]): number {
  return times.reduce(
    (most, from) => Math.max(most, times.filter((time) => time >= from && time < from + 1000).length),
    0,
  );
}

function worstOf(way: Way, fleet: Omit<Fleet, 'seed'>): number {
  const seeds = Array.from({ length: 25 }, (_, index) => index + 1);
  return Math.max(...seeds.map((seed) => mostInASecond(sentTimes(way, { ...fleet, seed }))));
}

describe('turns of routers at a cold upstream', () => {
  for (const routers of [4, 25, 76, 300]) {
    it(`keep the bound with ${routers} routers under any load`, () => {
      for (const demand of [1, 10, 100]) {
        expect(worstOf(byTurns, { routers, demand })).to.be.at.most(MOST_IN_A_SECOND * 0.8);
      }
    });
  }

  it('keep it where a third of the routers are numbered by another member', () => {
    const seeds = Array.from({ length: 25 }, (_, index) => index + 1);
    for (const seed of seeds) {
      const here = sentTimes(byTurns, { routers: 50, demand: 10, seed });
      const there = sentTimes(byTurns, { routers: 26 * 3, demand: 10, seed: seed + 100 });
      expect(mostInASecond([...here, ...there])).to.be.at.most(MOST_IN_A_SECOND);
    }
  });

  it('use what it bears within the time for which it is cold', () => {
    const sent = sentTimes(byTurns, { routers: 76, demand: 10, seed: 1 });
    expect(sent.length).to.be.within(TERMS.perSecond * 2.4, TERMS.perSecond * 3 + 1);
    expect(sent[0]).to.be.below(700);
  });

  it('are the way that keeps the bound: 76 and 300 buckets break it at once, and slow start under load', () => {
    expect(worstOf(byBuckets, { routers: 76, demand: 10 })).to.be.above(60);
    expect(worstOf(byBuckets, { routers: 300, demand: 10 })).to.be.above(200);
    expect(worstOf(bySlowStart, { routers: 76, demand: 10 })).to.be.above(MOST_IN_A_SECOND);
  });

  it('for keys of a cold owner pass little load as it comes, and hold back a hot key', () => {
    const left: Way = (place, heardAt) => {
      const turns = new WarmupTurns('u1', heardAt);
      return (now) => {
        const isLeft = now >= heardAt && turns.isLeft(place, RATE, now);
        if (isLeft) {
          turns.use(place, RATE, now);
        }
        return isLeft;
      };
    };
    expect(worstOf(left, { routers: 76, demand: 4 })).to.be.at.most(MOST_IN_A_SECOND);
  });

  it('are rarer where the bound leaves less room', () => {
    const tight = turnsPerSecond(TERMS, { overrunFactor: 1, marginRequests: 2 });
    expect(tight).to.be.below(RATE);
    expect(2 * tight + 3).to.be.at.most((TERMS.perSecond + 2) * 0.8 + 0.001);
  });
});
