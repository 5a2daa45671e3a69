/** How often a router checks for a suspension of its machine, and what counts as one. */
import { expect } from 'chai';
import { SuspensionDetector } from '../../src/router/suspension-detector.js';

const WALL = 1_700_000_000_000;

function machine() {
  const clocks = { steady: 0, boot: 1000, wallBehind: 0, bootReads: 0 };
  const detector = new SuspensionDetector({
    monotonic: () => clocks.steady,
    sinceBoot: () => {
      clocks.bootReads += 1;
      return clocks.boot;
    },
  });
  const run = (millis: number): number => {
    clocks.steady += millis;
    clocks.boot += millis;
    return detector.detect(clocks.steady, WALL + clocks.boot - clocks.wallBehind);
  };
  return { clocks, run };
}

describe('detection of suspensions', () => {
  it('reads the clocks once a second at 250 steps a second', () => {
    const { clocks, run } = machine();
    run(10);
    const { bootReads } = clocks;
    for (let step = 0; step < 2500; step += 1) {
      run(4);
    }
    expect(clocks.bootReads - bootReads).to.be.within(9, 10);
  });

  it('finds one at the first step after it, by the wall clock', () => {
    const { clocks, run } = machine();
    run(10);
    clocks.boot += 4000;
    expect(run(0.1)).to.be.within(4000, 4020);
    expect(run(10)).to.equal(0);
  });

  it('finds one between two regular checks, at the first step after it', () => {
    const { clocks, run } = machine();
    run(10);
    run(400);
    clocks.boot += 300;
    expect(run(4)).to.be.within(300, 320);
  });

  it('finds none if only the time since boot jumps, as that of a host machine may', () => {
    const { clocks, run } = machine();
    run(10);
    for (let count = 0; count < 20; count += 1) {
      clocks.boot += 100;
      clocks.wallBehind += 100;
      expect(run(10)).to.equal(0);
    }
  });

  it('finds none if the wall clock is set', () => {
    const { clocks, run } = machine();
    run(10);
    clocks.wallBehind -= 3000;
    expect(run(10)).to.equal(0);
    clocks.wallBehind += 3000;
    expect(run(10)).to.equal(0);
  });

  it('finds each of several', () => {
    const { clocks, run } = machine();
    for (let count = 0; count < 20; count += 1) {
      run(30);
      clocks.boot += 100;
      expect(run(10)).to.be.within(100, 120);
    }
  });
});
