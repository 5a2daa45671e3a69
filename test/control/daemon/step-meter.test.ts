/** Step costs are summed up per second. */
import { expect } from 'chai';
import { StepMeter } from '../../../src/control/daemon/step-meter.js';

describe('StepMeter', () => {
  it('sums up the steps of a second, reports the longest one, and resets', () => {
    const meter = new StepMeter(0);
    meter.recordStep('tick', 0, 2);
    meter.recordStep('peer-message', 10, 40);
    meter.recordTimerDelay(100, 160);
    meter.recordTimerDelay(200, 201);
    expect(meter.takeReport(999)).to.equal(null);
    meter.recordStep('holder-answer', 999, 1004);
    expect(meter.takeReport(1004)).to.deep.equal({
      spanMillis: 1004,
      steps: 3,
      busyMillis: 37,
      longestMillis: 30,
      longestInput: 'peer-message',
      lateMillis: 60,
    });
    const empty = { steps: 0, busyMillis: 0, longestMillis: 0, longestInput: null, lateMillis: 0 };
    expect(meter.takeReport(2004)).to.deep.equal({ spanMillis: 1000, ...empty });
  });
});
