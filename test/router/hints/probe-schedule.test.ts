/** Turns of probes: every upstream gets them, and their rate stays bounded however many there are. */
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
  for (const [upstreams, gap] of [
    [1, 1000],
    [10, 100],
    [40, 25],
    [80, 50],
    [1200, 750],
  ] as const) {
    it(`${upstreams} upstreams: one probe in ${gap} ms`, () => {
      expect(scheduleOf(upstreams).gapMillis()).to.equal(gap);
    });
  }

  it('gives each upstream one turn a round, wherever it begins', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 60 }),
        fc.double({ min: 0, max: 0.999, noNaN: true }),
        (count, start) => {
          const schedule = scheduleOf(count, () => start);
          for (let round = 0; round < 3; round++) {
            const turns = Array.from({ length: count }, () => schedule.take());
            expect(new Set(turns).size).to.equal(count);
          }
        },
      ),
    );
  });

  it('without upstreams gives none', () => {
    expect(scheduleOf(0).take()).to.equal(undefined);
  });
});
