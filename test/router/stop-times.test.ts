/** Times of a planned stop whose signal was heard late, or may have been. */
import { expect } from 'chai';
import { stopTimesOf } from '../../src/router/stop-times.js';

const GRACE_MILLIS = 6000;
const HEARD_AT = 100_000;
/** What runs in the last sixth of the grace time may be broken off. */
const LAST_SIXTH_MILLIS = GRACE_MILLIS / 6;

describe('a planned stop', () => {
  for (const heldUpMillis of [0, 300, 900, 1516]) {
    const times = stopTimesOf(GRACE_MILLIS, { earliestAt: HEARD_AT - heldUpMillis, heardAt: HEARD_AT });

    it(`lets nothing wait until it may be killed, ${heldUpMillis} ms after its signal at most`, () => {
      expect(times.answersAt).to.be.below(HEARD_AT - heldUpMillis + GRACE_MILLIS);
    });

    // Guards against running requests that are broken off too early, since the process was held up long before its signal came.
    it(`breaks nothing off before the last sixth of its time, if its signal came at the end of a hold-up of ${heldUpMillis} ms`, () => {
      expect(times.breaksOffAt).to.be.at.least(HEARD_AT + GRACE_MILLIS - LAST_SIXTH_MILLIS);
    });
  }

  it('has one end for all if it heard its signal in time', () => {
    const { answersAt, breaksOffAt, closesAt } = stopTimesOf(GRACE_MILLIS, {
      earliestAt: HEARD_AT,
      heardAt: HEARD_AT,
    });
    expect(breaksOffAt).to.equal(answersAt);
    expect(closesAt).to.be.within(breaksOffAt, HEARD_AT + GRACE_MILLIS);
  });
});
