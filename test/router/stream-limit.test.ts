/** How much of a streamed answer is read once its time is over. */
import { expect } from 'chai';
import { StreamLimit } from '../../src/router/attempts/stream-limit.js';

const ENDS_AT = 1000;
const LATE_BYTES = 16 * 1024 * 1024;
const LATE_MILLIS = 600_000;

describe('the limit of a streamed answer', () => {
  const created = (hasLength: boolean): StreamLimit => new StreamLimit({ endsAt: ENDS_AT, hasLength });

  it('bounds nothing in time', () => {
    expect(created(false).take(100 * LATE_BYTES, ENDS_AT)).to.equal(true);
  });

  it('bounds what comes late of an answer without a length', () => {
    const limit = created(false);
    expect([LATE_BYTES, 1].map((bytes) => limit.take(bytes, ENDS_AT + 1))).to.deep.equal([true, false]);
  });

  it('grants as much as came in time, if that is more', () => {
    const limit = created(false);
    limit.take(3 * LATE_BYTES, 0);
    expect([3 * LATE_BYTES, 1].map((bytes) => limit.take(bytes, ENDS_AT + 1))).to.deep.equal([true, false]);
  });

  it('bounds only the time of an answer with a length', () => {
    const limit = created(true);
    expect(limit.take(100 * LATE_BYTES, ENDS_AT + LATE_MILLIS)).to.equal(true);
    expect(limit.take(1, ENDS_AT + LATE_MILLIS + 1)).to.equal(false);
  });
});
