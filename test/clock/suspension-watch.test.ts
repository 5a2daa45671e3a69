/** Detection of suspensions from two clocks, without false positives. */
import { expect } from 'chai';
import { createLeaseClock, PROCESS_CLOCKS } from '../../src/clock/lease-clock.js';
import { SuspensionWatch } from '../../src/clock/suspension-watch.js';

const STEP_MILLIS = 10;

/** A machine whose clocks are advanced by the test; the time since boot advances in steps. */
class Machine {
  steadyMillis = 123;
  bootMillis = 5_000_007;
  readonly sources = {
    monotonic: () => this.steadyMillis,
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

describe('SuspensionWatch', () => {
  it('reports a suspension once, never too short and at most two steps too long', () => {
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

  it('reports nothing while both clocks run', () => {
    const machine = new Machine();
    const watch = new SuspensionWatch(machine.sources);
    for (let count = 0; count < 1000; count += 1) {
      machine.run(3.7);
      expect(watch.look()).to.equal(0);
    }
  });

  it('reports short suspensions once they add up', () => {
    const machine = new Machine();
    const watch = new SuspensionWatch(machine.sources);
    let detectedMillis = 0;
    for (let count = 0; count < 100; count += 1) {
      machine.run(50);
      machine.suspend(6);
      detectedMillis += watch.look();
    }
    expect(detectedMillis).to.be.at.least(600 - 3 * STEP_MILLIS);
  });

  it('stops using a time since boot that falls behind', () => {
    const machine = new Machine();
    const watch = new SuspensionWatch(machine.sources);
    machine.steadyMillis += 100;
    expect(watch.look()).to.equal(0);
    machine.suspend(5000);
    expect(watch.look()).to.equal(0);
    expect(watch.isUsable).to.equal(false);
  });
});

describe('the lease clock', () => {
  it('includes the time of a suspension, and never goes backwards', () => {
    const machine = new Machine();
    const now = createLeaseClock(machine.sources);
    const before = now();
    machine.suspend(2000);
    const after = now();
    expect(after - before).to.be.within(2000, 2000 + 2 * STEP_MILLIS);
    machine.run(7);
    expect(now() - after).to.be.closeTo(7, 0.001);
  });

  it('finds no suspension between the clocks of this process', () => {
    const watch = new SuspensionWatch(PROCESS_CLOCKS);
    const until = performance.now() + 30;
    while (performance.now() < until) {
      expect(watch.look()).to.equal(0);
    }
  });
});
