/** Bounds on how long a server may hold timed grants. */
import { expect } from 'chai';
import {
  DEPOSED_GRANTER_MILLIS,
  HolderHistory,
  type TimedGrantTimings,
} from '../../src/lease/timed-grants.js';

const TIMINGS: TimedGrantTimings = {
  holdMillis: 1000,
  renewMillis: 200,
  lateMillis: 5000,
  clockRateError: 0.02,
};
const MAX_HOLD = 1020;
const SINCE = 100;

/** Bound for grants of the previous granter that may be accepted late. */
const PREVIOUS_LATE_BOUND = SINCE + DEPOSED_GRANTER_MILLIS + TIMINGS.lateMillis + MAX_HOLD;

function history(): HolderHistory {
  return new HolderHistory(TIMINGS, SINCE);
}

/** Returns a history whose server has responded, so that grants of the previous granter count as accepted late too. */
function respondedHistory(): HolderHistory {
  const held = history();
  held.recordSent(0, false, 8000);
  held.recordAnswer(0, 8010);
  expect(held.heldUntil()).to.equal(PREVIOUS_LATE_BOUND);
  return held;
}

describe('history of timed grants', () => {
  it('counts grants of the previous granter, as late ones too once the server has responded after them', () => {
    const held = history();
    expect(held.heldUntil()).to.equal(SINCE + DEPOSED_GRANTER_MILLIS + MAX_HOLD);
    held.recordSent(1, false, SINCE + DEPOSED_GRANTER_MILLIS);
    held.recordAnswer(1, SINCE + DEPOSED_GRANTER_MILLIS + 10);
    expect(held.heldUntil()).to.equal(SINCE + DEPOSED_GRANTER_MILLIS + MAX_HOLD);
    held.recordSent(2, false, SINCE + DEPOSED_GRANTER_MILLIS + 1);
    held.recordAnswer(2, SINCE + DEPOSED_GRANTER_MILLIS + 20);
    expect(held.heldUntil()).to.equal(PREVIOUS_LATE_BOUND);
  });

  it('counts no late grants of the previous granter for a server that never responds', () => {
    const held = history();
    for (let call = 1; call <= 5; call += 1) {
      held.recordSent(call, true, SINCE + DEPOSED_GRANTER_MILLIS + call);
      held.recordNotSent(call, 10_300);
    }
    expect(held.heldUntil()).to.equal(SINCE + DEPOSED_GRANTER_MILLIS + MAX_HOLD);
  });

  it('counts an answered grant from its answer', () => {
    const held = history();
    held.recordSent(1, true, 10_000);
    held.recordAnswer(1, 10_040);
    expect(held.heldUntil()).to.equal(10_040 + MAX_HOLD);
    expect(held.silentSince).to.equal(null);
  });

  it('counts a grant in progress', () => {
    const held = history();
    held.recordSent(1, true, 10_000);
    expect(held.heldUntil()).to.equal(10_000 + MAX_HOLD);
  });

  it('does not count a grant that was never sent', () => {
    const held = history();
    const before = held.heldUntil();
    held.recordSent(1, true, 10_000);
    held.recordNotSent(1, 10_300);
    expect(held.heldUntil()).to.equal(before);
    expect(held.silentSince).to.equal(10_000);
  });

  it('counts an unanswered grant as late only once the server has responded after it', () => {
    const held = history();
    const before = held.heldUntil();
    held.recordSent(1, true, 10_000);
    held.recordNoAnswer(1, 10_300);
    expect(held.heldUntil()).to.equal(before);
    held.recordSent(2, false, 10_500);
    held.recordAnswer(2, 10_510);
    expect(held.heldUntil()).to.equal(10_000 + TIMINGS.lateMillis + MAX_HOLD);
  });

  it('does not count an answer to an earlier call as a later sign of life', () => {
    const held = respondedHistory();
    const before = held.heldUntil();
    held.recordSent(1, false, 9000);
    held.recordSent(2, true, 10_000);
    held.recordNoAnswer(2, 10_300);
    held.recordAnswer(1, 10_200);
    expect(held.heldUntil()).to.equal(before);
  });

  it('does not count a release', () => {
    const held = respondedHistory();
    const before = held.heldUntil();
    held.recordSent(1, false, 10_000);
    held.recordAnswer(1, 10_010);
    expect(held.heldUntil()).to.equal(before);
  });
});
