/** How often a router looks whether its machine was suspended, and what it takes for a suspension. */
import { expect } from 'chai';
import { SuspensionLooks } from '../../src/router/suspension-looks.js';

const WALL = 1_700_000_000_000;

function machine() {
  const clocks = { steady: 0, boot: 1000, wallBehind: 0, asked: 0 };
  const looks = new SuspensionLooks({
    steady: () => clocks.steady,
    sinceBoot: () => {
      clocks.asked += 1;
      return clocks.boot;
    },
  });
  const run = (millis: number): number => {
    clocks.steady += millis;
    clocks.boot += millis;
    return looks.find(clocks.steady, WALL + clocks.boot - clocks.wallBehind);
  };
  return { clocks, run };
}

describe('looks for suspensions', () => {
  it('ask once a second, where 250 steps a second asked 200 times before', () => {
    const { clocks, run } = machine();
    run(10);
    const { asked } = clocks;
    for (let step = 0; step < 2500; step += 1) {
      run(4);
    }
    expect(clocks.asked - asked).to.be.within(9, 10);
  });

  it('find one at the first step after it, by the time of day', () => {
    const { clocks, run } = machine();
    run(10);
    clocks.boot += 4000;
    expect(run(0.1)).to.be.within(4000, 4020);
    expect(run(10)).to.equal(0);
  });

  it('find one between two looks that were due, at the first step after it', () => {
    const { clocks, run } = machine();
    run(10);
    run(400);
    clocks.boot += 300;
    expect(run(4)).to.be.within(300, 320);
  });

  it('find none where the time since boot alone moves, as that of a host does', () => {
    const { clocks, run } = machine();
    run(10);
    for (let count = 0; count < 20; count += 1) {
      clocks.boot += 100;
      clocks.wallBehind += 100;
      expect(run(10)).to.equal(0);
    }
  });

  it('find none where the time of day is set', () => {
    const { clocks, run } = machine();
    run(10);
    clocks.wallBehind -= 3000;
    expect(run(10)).to.equal(0);
    clocks.wallBehind += 3000;
    expect(run(10)).to.equal(0);
  });

  it('find each of several', () => {
    const { clocks, run } = machine();
    for (let count = 0; count < 20; count += 1) {
      run(30);
      clocks.boot += 100;
      expect(run(10)).to.be.within(100, 120);
    }
  });
});
