/** Step costs are summed up per second. */
import { expect } from 'chai';
import { StepMeter } from '../../../src/control/daemon/step-meter.js';

describe('StepMeter', () => {
  it('sums up the steps of a second, reports the longest one, and resets', () => {
    const meter = new StepMeter(0);
    meter.stepped('tick', 0, 2);
    meter.stepped('peer-message', 10, 40);
    meter.probed(100, 160);
    meter.probed(200, 201);
    expect(meter.take(999)).to.equal(null);
    meter.stepped('holder-answer', 999, 1004);
    expect(meter.take(1004)).to.deep.equal({
      spanMillis: 1004,
      steps: 3,
      busyMillis: 37,
      longestMillis: 30,
      longestInput: 'peer-message',
      lateMillis: 60,
    });
    const empty = { steps: 0, busyMillis: 0, longestMillis: 0, longestInput: null, lateMillis: 0 };
    expect(meter.take(2004)).to.deep.equal({ spanMillis: 1000, ...empty });
  });
});
