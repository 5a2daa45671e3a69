/** Schedules of faults that are drawn from a seed. */
import { expect } from 'chai';
import { randomFaults } from '../../src/dev/fleet/random-faults.js';

const SECONDS = 60;
const TARGETS = {
  routers: ['router-1', 'router-2'],
  upstreams: ['orders-1'],
  zones: ['zone-a', 'zone-b', 'zone-c'],
};
const PROCESS_TYPES = new Set(['kill', 'stop', 'freeze']);

describe('randomFaults', () => {
  it('draws the same schedule for the same seed, and others for other seeds', () => {
    const first = randomFaults(1, SECONDS, TARGETS);
    expect(randomFaults(1, SECONDS, TARGETS)).to.deep.equal(first);
    expect(randomFaults(2, SECONDS, TARGETS)).to.not.deep.equal(first);
  });

  it('never hits a process while it is started again, and hits several at once', () => {
    for (let seed = 1; seed <= 50; seed += 1) {
      const faults = randomFaults(seed, SECONDS, TARGETS);
      const ofRouter = faults.filter(({ type, target }) => PROCESS_TYPES.has(type) && target === 'router-1');
      for (const [index, { at }] of ofRouter.slice(1).entries()) {
        const before = ofRouter[index] as (typeof ofRouter)[number];
        expect(at).to.be.above(before.at + before.seconds + 5);
      }
      const overlapping = faults.filter(({ at, seconds }, index) =>
        faults.some((other, place) => place > index && other.at < at + seconds),
      );
      expect(overlapping).to.have.length.above(3);
    }
  });

  it('leaves time after the last fault for what must work again', () => {
    for (let seed = 1; seed <= 50; seed += 1) {
      for (const { at, seconds } of randomFaults(seed, SECONDS, TARGETS)) {
        expect(at + seconds).to.be.at.most(SECONDS - 6);
      }
    }
  });
});
