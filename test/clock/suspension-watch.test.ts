/** What two clocks tell of a machine that was suspended, and when they tell nothing. */
import { expect } from 'chai';
import { createLeaseClock, PROCESS_CLOCKS } from '../../src/clock/lease-clock.js';
import { SuspensionWatch } from '../../src/clock/suspension-watch.js';

const STEP_MILLIS = 10;

/** A machine whose clocks a test moves; the time since boot is told in steps. */
class Machine {
  steadyMillis = 123;
  bootMillis = 5_000_007;
  readonly sources = {
    steady: () => this.steadyMillis,
    sinceBoot: () => Math.floor(this.bootMillis / STEP_MILLIS) * STEP_MILLIS,
  };

  run(millis: number): void {
    this.steadyMillis += millis;
    this.bootMillis += millis;
  }

  suspend(millis: number): void {
    this.bootMillis += millis;
  }
}

describe('a watch over suspensions', () => {
  it('tells of one once, never too short and at most two steps too long', () => {
    for (let offset = 0; offset < 2 * STEP_MILLIS; offset += 1) {
      const machine = new Machine();
      machine.run(offset);
      const watch = new SuspensionWatch(machine.sources);
      machine.run(1.5 * offset);
      machine.suspend(3000);
      expect(watch.look()).to.be.within(3000, 3000 + 2 * STEP_MILLIS);
      machine.run(1000);
      expect(watch.look()).to.equal(0);
    }
  });

  it('tells of nothing while both clocks run', () => {
    const machine = new Machine();
    const watch = new SuspensionWatch(machine.sources);
    for (let count = 0; count < 1000; count += 1) {
      machine.run(3.7);
      expect(watch.look()).to.equal(0);
    }
  });

  it('tells of short ones once they add up', () => {
    const machine = new Machine();
    const watch = new SuspensionWatch(machine.sources);
    let told = 0;
    for (let count = 0; count < 100; count += 1) {
      machine.run(50);
      machine.suspend(6);
      told += watch.look();
    }
    expect(told).to.be.at.least(600 - 3 * STEP_MILLIS);
  });

  it('relies no more on a time since boot that falls behind', () => {
    const machine = new Machine();
    const watch = new SuspensionWatch(machine.sources);
    machine.steadyMillis += 100;
    expect(watch.look()).to.equal(0);
    machine.suspend(5000);
    expect(watch.look()).to.equal(0);
    expect(watch.isUsable).to.equal(false);
  });
});

describe('the clock of a lease', () => {
  it('counts the time of a suspension, and never goes back', () => {
    const machine = new Machine();
    const now = createLeaseClock(machine.sources);
    const before = now();
    machine.suspend(2000);
    const after = now();
    expect(after - before).to.be.within(2000, 2000 + 2 * STEP_MILLIS);
    machine.run(7);
    expect(now() - after).to.be.closeTo(7, 0.001);
  });

  it('reads clocks of this process that agree', () => {
    const watch = new SuspensionWatch(PROCESS_CLOCKS);
    const until = performance.now() + 30;
    while (performance.now() < until) {
      expect(watch.look()).to.equal(0);
    }
  });
});
