/**
 * Return times of refused callers: each gets its own, at the rate at which requests drain, and its capacity is reserved against new
 * arrivals.
 */
import { expect } from 'chai';
import { EventQueue } from '../../src/dev/virtual/event-queue.js';
import {
  GRACE_MILLIS,
  type ReturnRequest,
  ReturnSchedules,
} from '../../src/routing/queue/return-schedules.js';

const PLACE_MILLIS = 100;
const REQUEST: ReturnRequest = {
  schedule: 'menu',
  rank: 1,
  earliestMillis: 300,
  latestMillis: 20_000,
  reservedMillis: 20_000,
  perMilli: 1 / PLACE_MILLIS,
  deadline: 60_000,
  firstArrivedAt: 0,
};

/** Returns the arrival of a caller that was refused with this deadline. */
function arrivalOf(deadline = REQUEST.deadline) {
  return { schedule: REQUEST.schedule, rank: REQUEST.rank, deadline };
}

describe('return times of refused callers', () => {
  it('are one place apart, the earliest first', () => {
    const schedules = new ReturnSchedules();
    const delays = Array.from({ length: 5 }, () => schedules.reserve(REQUEST, 0));
    expect(delays).to.deep.equal([300, 400, 500, 600, 700]);
  });

  it('fill free places between others when requests drain faster', () => {
    const schedules = new ReturnSchedules();
    schedules.reserve(REQUEST, 0);
    schedules.reserve(REQUEST, 0);
    const faster = { ...REQUEST, perMilli: 4 / PLACE_MILLIS };
    expect([schedules.reserve(faster, 0), schedules.reserve(faster, 0)]).to.deep.equal([325, 350]);
  });

  it('are further apart when requests drain more slowly', () => {
    const schedules = new ReturnSchedules();
    schedules.reserve(REQUEST, 0);
    expect(schedules.reserve({ ...REQUEST, perMilli: 0.5 / PLACE_MILLIS }, 0)).to.equal(500);
  });

  it('are never later than is useful to the caller', () => {
    const schedules = new ReturnSchedules();
    const delays = Array.from({ length: 10 }, () => schedules.reserve({ ...REQUEST, latestMillis: 450 }, 0));
    const assigned = delays.flatMap((millis) => millis ?? []);
    expect(assigned.slice(0, 2)).to.deep.equal([300, 400]);
    expect(Math.max(...assigned)).to.be.at.most(450);
    expect(new Set(assigned).size).to.equal(assigned.length);
  });

  it('are not assigned if they would be far later than is useful', () => {
    const schedules = new ReturnSchedules();
    expect(schedules.reserve({ ...REQUEST, earliestMillis: 1000, latestMillis: 450 }, 0)).to.equal(null);
    expect(schedules.counts).to.include({ made: 0, hopeless: 1 });
  });

  it('are as early for more important callers as without reservations of the others', () => {
    const schedules = new ReturnSchedules();
    const lessImportant = [schedules.reserve(REQUEST, 0), schedules.reserve(REQUEST, 0)];
    const urgent = { ...REQUEST, rank: 0 };
    const moreImportant = [schedules.reserve(urgent, 0), schedules.reserve(urgent, 0)];
    expect(lessImportant).to.deep.equal([300, 400]);
    expect(moreImportant[0]).to.be.within(300.5, 302);
    expect(moreImportant[1]).to.be.within(400.5, 403);
  });

  it('are behind those of more important callers', () => {
    const schedules = new ReturnSchedules();
    schedules.reserve({ ...REQUEST, rank: 0 }, 0);
    expect(schedules.reserve(REQUEST, 0)).to.equal(400);
  });

  it('of other owners of keys are scheduled independently', () => {
    const schedules = new ReturnSchedules();
    expect([
      schedules.reserve(REQUEST, 0),
      schedules.reserve({ ...REQUEST, schedule: 'menu/u2' }, 0),
    ]).to.deep.equal([300, 300]);
  });
});

describe('reserved capacity', () => {
  it('is reserved against new arrivals until shortly after the return time, and then released', () => {
    const schedules = new ReturnSchedules();
    schedules.reserve(REQUEST, 0);
    expect(schedules.reservedPlaces(REQUEST, 100, 0)).to.equal(0);
    expect(schedules.reservedPlaces(REQUEST, 100, 300)).to.be.above(0);
    expect(schedules.reservedPlaces(REQUEST, 100, 300 + GRACE_MILLIS + 1)).to.equal(0);
  });

  it('is not reserved against more important callers', () => {
    const schedules = new ReturnSchedules();
    schedules.reserve(REQUEST, 0);
    expect(schedules.reservedPlaces({ ...REQUEST, rank: 0 }, 100, 300)).to.equal(0);
  });

  it('goes once to an arrival of which as much of its time has passed', () => {
    const schedules = new ReturnSchedules();
    schedules.reserve(REQUEST, 0);
    expect(schedules.claim(arrivalOf(), 310)).to.include({ firstArrivedAt: 0 });
    expect(schedules.claim(arrivalOf(), 310)).to.equal(null);
    expect(schedules.counts).to.include({ made: 1, kept: 1 });
  });

  it('does not go to a new arrival, or to one that is too early', () => {
    const schedules = new ReturnSchedules();
    schedules.reserve(REQUEST, 0);
    expect(schedules.claim(arrivalOf(REQUEST.deadline + 310), 310)).to.equal(null);
    expect(schedules.claim(arrivalOf(), 200)).to.equal(null);
  });

  it('counts for less if fewer of the scheduled callers return here', () => {
    const schedules = new ReturnSchedules();
    for (let now = 0; now < 60_000; now += 200) {
      schedules.reserve({ ...REQUEST, deadline: now + 60_000 }, now);
    }
    expect(schedules.reservedPlaces(REQUEST, 100, 60_000)).to.be.below(0.1);
  });

  it('takes no memory once no more callers are refused', () => {
    const schedules = new ReturnSchedules();
    schedules.reserve(REQUEST, 0);
    schedules.claim(arrivalOf(), 10_000);
    expect(schedules.isEmpty).to.equal(true);
  });
});

/** A hundred callers are refused in one second, where ten are served per second. Returns the maximum number that return in one second. */
function maxReturnsPerSecond(reserve: (request: ReturnRequest, now: number) => number | null): number {
  const queue = new EventQueue();
  const returnedAt: number[] = [];
  for (let caller = 0; caller < 100; caller += 1) {
    queue.at(caller * 10, () => {
      const millis = reserve({ ...REQUEST, deadline: queue.now + 60_000 }, queue.now);
      queue.after(millis ?? 0, () => returnedAt.push(queue.now));
    });
  }
  queue.runUntil(60_000);
  return Math.max(
    ...returnedAt.map((at) => returnedAt.filter((other) => other >= at && other < at + 1000).length),
  );
}

describe('a hundred callers refused in one second', () => {
  it('return at the rate at which they are served', () => {
    const schedules = new ReturnSchedules();
    expect(maxReturnsPerSecond((request, now) => schedules.reserve(request, now))).to.be.at.most(
      1000 / PLACE_MILLIS,
    );
  });

  it('return together if reservations are forgotten (sabotage)', () => {
    expect(maxReturnsPerSecond((request, now) => new ReturnSchedules().reserve(request, now))).to.be.above(
      1000 / PLACE_MILLIS,
    );
  });
});
