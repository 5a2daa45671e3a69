/**
 * How many requests all routers together send to a cold upstream in one second, and how quickly they use its capacity. The bound of the
 * simulated load is 4.2 * 1.5 + 8 = 14.3 in any second; the upstream can handle 4.2 per second.
 */
import { expect } from 'chai';
import type { RoundPosition } from '../../src/model/router-time-slots.js';
import { timeSlotsPerSecond, WarmupTimeSlots } from '../../src/routing/capacity/warmup-time-slots.js';
import { Random } from '../../src/routing/random.js';

const TERMS = { perSecond: 4.2, millis: 3000 };
const BOUNDS = { overrunFactor: 1.5, marginRequests: 8 };
const MAX_PER_SECOND = TERMS.perSecond * BOUNDS.overrunFactor + BOUNDS.marginRequests;
const RATE = timeSlotsPerSecond(TERMS, BOUNDS);
const STEP_MILLIS = 5;
/** Maximum difference between the times at which connected routers receive the same update. */
const UPDATE_SPREAD_MILLIS = 120;

interface Fleet {
  readonly routers: number;
  /** Requests per second at each router that could be sent to the upstream. */
  readonly demand: number;
  readonly seed: number;
  readonly millis?: number;
}

/** A way to share the capacity of a cold upstream: creates the rule that one router applies. */
type Strategy = (place: RoundPosition, updatedAt: number, random: Random) => (now: number) => boolean;

/** The time slots of rounds, as implemented. */
const byTimeSlots: Strategy = (place, updatedAt) => {
  const timeSlots = new WarmupTimeSlots('u1', updatedAt);
  return (now) => {
    const isDue = now >= updatedAt && timeSlots.isDue(place, RATE, now);
    if (isDue) {
      timeSlots.use(place, RATE, now);
    }
    return isDue;
  };
};

/** A token bucket at each router: it holds one token, is filled with the router's share of the rate, and keeps an unused token. */
const byBuckets: Strategy = ({ routers }, updatedAt) => {
  let tokens = 1;
  let filledAt = updatedAt;
  return (now) => {
    tokens = Math.min(1, tokens + ((now - filledAt) * RATE) / routers / 1000);
    filledAt = now;
    const isDue = tokens >= 1;
    tokens -= isDue ? 1 : 0;
    return isDue;
  };
};

/** Slow start only, which initially allows a tenth of the upstream's share. */
const bySlowStart: Strategy = (_place, _updatedAt, random) => () => random.below(10) === 0;

/** Returns the times at which requests were sent. */
function sentTimes(strategy: Strategy, { routers, demand, seed, millis = TERMS.millis }: Fleet): number[] {
  const random = new Random(seed);
  const rules = Array.from({ length: routers }, (_, index) => {
    const updatedAt = random.below(UPDATE_SPREAD_MILLIS);
    return strategy({ phaseShare: index / routers, routers }, updatedAt, random);
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

function maxInASecond(times: readonly number[]): number {
  return times.reduce(
    (most, from) => Math.max(most, times.filter((time) => time >= from && time < from + 1000).length),
    0,
  );
}

function worstOf(strategy: Strategy, fleet: Omit<Fleet, 'seed'>): number {
  const seeds = Array.from({ length: 25 }, (_, index) => index + 1);
  return Math.max(...seeds.map((seed) => maxInASecond(sentTimes(strategy, { ...fleet, seed }))));
}

describe('time slots of routers at a cold upstream', () => {
  for (const routers of [4, 25, 76, 300]) {
    it(`keep the bound with ${routers} routers under any load`, () => {
      for (const demand of [1, 10, 100]) {
        expect(worstOf(byTimeSlots, { routers, demand })).to.be.at.most(MAX_PER_SECOND * 0.8);
      }
    });
  }

  it('keep the bound if a third of the routers are numbered by another member', () => {
    const seeds = Array.from({ length: 25 }, (_, index) => index + 1);
    for (const seed of seeds) {
      const here = sentTimes(byTimeSlots, { routers: 50, demand: 10, seed });
      const there = sentTimes(byTimeSlots, { routers: 26 * 3, demand: 10, seed: seed + 100 });
      expect(maxInASecond([...here, ...there])).to.be.at.most(MAX_PER_SECOND);
    }
  });

  it('use what the upstream bears while it is cold', () => {
    const sent = sentTimes(byTimeSlots, { routers: 76, demand: 10, seed: 1 });
    expect(sent.length).to.be.within(TERMS.perSecond * 2.4, TERMS.perSecond * 3 + 1);
    expect(sent[0]).to.be.below(700);
  });

  it('are needed for the bound: 76 and 300 token buckets exceed it at once, and slow start exceeds it under load', () => {
    expect(worstOf(byBuckets, { routers: 76, demand: 10 })).to.be.above(60);
    expect(worstOf(byBuckets, { routers: 300, demand: 10 })).to.be.above(200);
    expect(worstOf(bySlowStart, { routers: 76, demand: 10 })).to.be.above(MAX_PER_SECOND);
  });

  it('for keys of a cold owner admit a low load as it arrives, and limit a hot key', () => {
    const keyed: Strategy = (place, updatedAt) => {
      const timeSlots = new WarmupTimeSlots('u1', updatedAt);
      return (now) => {
        const isLeft = now >= updatedAt && timeSlots.isUnused(place, RATE, now);
        if (isLeft) {
          timeSlots.use(place, RATE, now);
        }
        return isLeft;
      };
    };
    expect(worstOf(keyed, { routers: 76, demand: 4 })).to.be.at.most(MAX_PER_SECOND);
  });

  it('are rarer if the bound is lower', () => {
    const tight = timeSlotsPerSecond(TERMS, { overrunFactor: 1, marginRequests: 2 });
    expect(tight).to.be.below(RATE);
    expect(2 * tight + 3).to.be.at.most((TERMS.perSecond + 2) * 0.8 + 0.001);
  });
});
