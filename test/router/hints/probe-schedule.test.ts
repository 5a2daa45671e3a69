/** Every upstream is probed in each round, and the rate of probes stays bounded for any number of upstreams. */
import { expect } from 'chai';
import fc from 'fast-check';
import { ProbeSchedule } from '../../../src/router/hints/probe-schedule.js';

const INTERVAL_MILLIS = 1000;

function scheduleOf(count: number, random = () => 0.5): ProbeSchedule {
  const schedule = new ProbeSchedule({
    intervalMillis: INTERVAL_MILLIS,
    random,
  });
  schedule.replace(Array.from({ length: count }, (_, index) => `u${index}`));
  return schedule;
}

describe('probe schedule', () => {
  for (const [upstreams, delay] of [
    [1, 1000],
    [10, 100],
    [40, 25],
    [80, 50],
    [1200, 750],
  ] as const) {
    it(`${upstreams} upstreams: one probe in ${delay} ms`, () => {
      expect(scheduleOf(upstreams).nextDelayMillis()).to.equal(delay);
    });
  }

  it('probes each upstream once a round, wherever it starts', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 60 }),
        fc.double({ min: 0, max: 0.999, noNaN: true }),
        (count, start) => {
          const schedule = scheduleOf(count, () => start);
          for (let round = 0; round < 3; round++) {
            const upstreams = Array.from({ length: count }, () => schedule.next());
            expect(new Set(upstreams).size).to.equal(count);
          }
        },
      ),
    );
  });

  it('returns none without upstreams', () => {
    expect(scheduleOf(0).next()).to.equal(undefined);
  });
});
