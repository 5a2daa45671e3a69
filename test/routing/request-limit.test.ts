/** Start, change and end of a rate limit at one router, and the number of requests it admits. */
import { expect } from 'chai';
import { PERMIT_LIFETIME_MILLIS } from '../../src/model/limit-shares.js';
import { RequestLimit } from '../../src/routing/notices/request-limit.js';

const ROUTERS = 10;

function makeLimit(phaseShare = 0.5, routers = ROUTERS): RequestLimit {
  return new RequestLimit(() => ({ phaseShare, routers }), 0);
}

/** Number of admitted requests if one is tried every ten milliseconds. */
function countSent(limit: RequestLimit, from: number, millis: number): number {
  let sent = 0;
  for (let now = from; now < from + millis; now += 10) {
    if (limit.admits(now)) {
      limit.sent(now);
      sent += 1;
    }
  }
  return sent;
}

describe('a rate limit at one router', () => {
  it('admits everything before a limit is received', () => {
    expect(countSent(makeLimit(), 0, 1000)).to.equal(100);
  });

  it('admits this router’s even share while control issues no permits', () => {
    const limit = makeLimit();
    limit.recordAnswer(50, { attempt: 1, latest: 1 }, 0);
    // A fifth of 50 per second is shared evenly; a tenth of that is this router's: one per second.
    expect(countSent(limit, 0, 20_000)).to.be.within(19, 21);
  });

  it('admits as many requests as control issued permits, while the permits are valid', () => {
    const limit = makeLimit();
    limit.recordAnswer(1, { attempt: 1, latest: 1 }, 0);
    limit.addPermits(3, PERMIT_LIFETIME_MILLIS);
    expect(countSent(limit, 0, 100)).to.equal(3);
    limit.addPermits(3, 100 + PERMIT_LIFETIME_MILLIS);
    expect(countSent(limit, 101 + PERMIT_LIFETIME_MILLIS, 1000)).to.equal(0);
  });

  it('drops unused time slots', () => {
    const limit = makeLimit();
    limit.recordAnswer(50, { attempt: 1, latest: 1 }, 0);
    for (let now = 0; now < 10_000; now += 10) {
      limit.admits(now);
    }
    expect(countSent(limit, 10_000, 50)).to.be.at.most(1);
  });

  it('has no time slots for a time without a limit', () => {
    const limit = makeLimit(0.1);
    limit.recordAnswer(50, { attempt: 1, latest: 1 }, 0);
    limit.recordAnswer(null, { attempt: 2, latest: 2 }, 100);
    limit.recordAnswer(50, { attempt: 3, latest: 3 }, 60_000);
    expect(countSent(limit, 60_000, 500)).to.equal(0);
  });

  it('ends with an answer without a limit if its attempt started after the limit was last received', () => {
    const limit = makeLimit();
    limit.recordAnswer(5, { attempt: 4, latest: 9 }, 0);
    expect(limit.recordAnswer(null, { attempt: 9, latest: 20 }, 50)).to.equal(false);
    expect(limit.perSecond).to.equal(5);
    expect(limit.recordAnswer(null, { attempt: 10, latest: 20 }, 60)).to.equal(true);
    expect(limit.isInForce).to.equal(false);
  });

  it('falls at once and rises only by a later answer', () => {
    const limit = makeLimit();
    limit.recordAnswer(5, { attempt: 4, latest: 9 }, 0);
    expect(limit.recordAnswer(2, { attempt: 5, latest: 9 }, 10)).to.equal(true);
    expect(limit.recordAnswer(8, { attempt: 9, latest: 9 }, 20)).to.equal(false);
    expect(limit.recordAnswer(8, { attempt: 10, latest: 10 }, 30)).to.equal(true);
    expect(limit.perSecond).to.equal(8);
  });

  it('applies a limit from control only if it is newer than its own', () => {
    const limit = makeLimit();
    limit.recordAnswer(5, { attempt: 1, latest: 1 }, 1000);
    expect(limit.recordFromControl({ perSecond: null, heardAgoMillis: 300 }, 1200)).to.equal(false);
    expect(limit.recordFromControl({ perSecond: 3, heardAgoMillis: 100 }, 1200)).to.equal(true);
    expect(limit.recordFromControl({ perSecond: null, heardAgoMillis: 0 }, 1200)).to.equal(true);
    expect(limit.isInForce).to.equal(false);
  });

  it('of 0 admits an occasional request, so that its end is noticed', () => {
    const limit = makeLimit(0.5, 1);
    limit.recordAnswer(0, { attempt: 1, latest: 1 }, 0);
    expect(countSent(limit, 0, 60_000)).to.be.within(2, 4);
  });
});
