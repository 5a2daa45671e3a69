/** Times that refused callers are told: each its own, at the rate at which work drains, kept from those who come first. */
import { expect } from 'chai';
import { EventQueue } from '../../src/dev/virtual/event-queue.js';
import { GRACE_MILLIS, type ReturnAsk, ReturnTimes } from '../../src/routing/queue/return-times.js';

const PLACE_MILLIS = 100;
const ASK: ReturnAsk = {
  lane: 'menu',
  rank: 1,
  soonestMillis: 300,
  latestMillis: 20_000,
  keptMillis: 20_000,
  perMilli: 1 / PLACE_MILLIS,
  deadline: 60_000,
  cameAt: 0,
};

/** What one that was told `millis` at `now` is when it comes. */
function returned(deadline = ASK.deadline) {
  return { lane: ASK.lane, rank: ASK.rank, deadline };
}

describe('times that refused callers are told', () => {
  it('are one place apart, the soonest first', () => {
    const times = new ReturnTimes();
    const told = Array.from({ length: 5 }, () => times.promise(ASK, 0));
    expect(told).to.deep.equal([300, 400, 500, 600, 700]);
  });

  it('fill what is free between others when work drains faster', () => {
    const times = new ReturnTimes();
    times.promise(ASK, 0);
    times.promise(ASK, 0);
    const faster = { ...ASK, perMilli: 4 / PLACE_MILLIS };
    expect([times.promise(faster, 0), times.promise(faster, 0)]).to.deep.equal([325, 350]);
  });

  it('are further apart when work drains slower', () => {
    const times = new ReturnTimes();
    times.promise(ASK, 0);
    expect(times.promise({ ...ASK, perMilli: 0.5 / PLACE_MILLIS }, 0)).to.equal(500);
  });

  it('are never later than is of use', () => {
    const times = new ReturnTimes();
    const told = Array.from({ length: 10 }, () => times.promise({ ...ASK, latestMillis: 450 }, 0));
    const given = told.flatMap((millis) => millis ?? []);
    expect(given.slice(0, 2)).to.deep.equal([300, 400]);
    expect(Math.max(...given)).to.be.at.most(450);
    expect(new Set(given).size).to.equal(given.length);
  });

  it('are none where each is far later than is of use', () => {
    const times = new ReturnTimes();
    expect(times.promise({ ...ASK, soonestMillis: 1000, latestMillis: 450 }, 0)).to.equal(null);
    expect(times.counts).to.include({ made: 0, hopeless: 1 });
  });

  it('are as soon for more important callers as if the others had not been told', () => {
    const times = new ReturnTimes();
    const less = [times.promise(ASK, 0), times.promise(ASK, 0)];
    const urgent = { ...ASK, rank: 0 };
    const more = [times.promise(urgent, 0), times.promise(urgent, 0)];
    expect(less).to.deep.equal([300, 400]);
    expect(more[0]).to.be.within(300.5, 302);
    expect(more[1]).to.be.within(400.5, 403);
  });

  it('are behind those of more important callers', () => {
    const times = new ReturnTimes();
    times.promise({ ...ASK, rank: 0 }, 0);
    expect(times.promise(ASK, 0)).to.equal(400);
  });

  it('of other owners of keys are places of their own', () => {
    const times = new ReturnTimes();
    expect([times.promise(ASK, 0), times.promise({ ...ASK, lane: 'menu/u2' }, 0)]).to.deep.equal([300, 300]);
  });
});

describe('the room of a promised moment', () => {
  it('is kept from those who come first until shortly after, and then released', () => {
    const times = new ReturnTimes();
    times.promise(ASK, 0);
    expect(times.placesKept(ASK, 100, 0)).to.equal(0);
    expect(times.placesKept(ASK, 100, 300)).to.be.above(0);
    expect(times.placesKept(ASK, 100, 300 + GRACE_MILLIS + 1)).to.equal(0);
  });

  it('is not kept from more important callers', () => {
    const times = new ReturnTimes();
    times.promise(ASK, 0);
    expect(times.placesKept({ ...ASK, rank: 0 }, 100, 300)).to.equal(0);
  });

  it('goes to one that comes with as much of its time gone, once', () => {
    const times = new ReturnTimes();
    times.promise(ASK, 0);
    expect(times.take(returned(), 310)).to.include({ cameAt: 0 });
    expect(times.take(returned(), 310)).to.equal(null);
    expect(times.counts).to.include({ made: 1, kept: 1 });
  });

  it('goes to nobody who comes first, or too soon', () => {
    const times = new ReturnTimes();
    times.promise(ASK, 0);
    expect(times.take(returned(ASK.deadline + 310), 310)).to.equal(null);
    expect(times.take(returned(), 200)).to.equal(null);
  });

  it('counts for less the fewer of those told come here', () => {
    const times = new ReturnTimes();
    for (let now = 0; now < 60_000; now += 200) {
      times.promise({ ...ASK, deadline: now + 60_000 }, now);
    }
    expect(times.placesKept(ASK, 100, 60_000)).to.be.below(0.1);
  });

  it('is nothing that is kept in memory once nobody is refused any more', () => {
    const times = new ReturnTimes();
    times.promise(ASK, 0);
    times.take(returned(), 10_000);
    expect(times.isEmpty).to.equal(true);
  });
});

/** A hundred callers refused in one second, where ten are served in a second: what meets when they come back. */
function mostAtOnce(promise: (ask: ReturnAsk, now: number) => number | null): number {
  const queue = new EventQueue();
  const came: number[] = [];
  for (let caller = 0; caller < 100; caller += 1) {
    queue.at(caller * 10, () => {
      const millis = promise({ ...ASK, deadline: queue.now + 60_000 }, queue.now);
      queue.after(millis ?? 0, () => came.push(queue.now));
    });
  }
  queue.runUntil(60_000);
  return Math.max(...came.map((at) => came.filter((other) => other >= at && other < at + 1000).length));
}

describe('a hundred callers refused in one second', () => {
  it('come back at the rate at which they are served', () => {
    const times = new ReturnTimes();
    expect(mostAtOnce((ask, now) => times.promise(ask, now))).to.be.at.most(1000 / PLACE_MILLIS);
  });

  it('come back together if promises are forgotten (sabotage)', () => {
    expect(mostAtOnce((ask, now) => new ReturnTimes().promise(ask, now))).to.be.above(1000 / PLACE_MILLIS);
  });
});
