/** Step costs are summed up per second. */
import { expect } from 'chai';
import { StepMeter } from '../../../src/control/daemon/step-meter.js';

const NO_WORK = { appliedEntries: 0, routerMessages: 0, routingSnapshots: 0, searchedSpans: 0 };
const LONG_WORK = { appliedEntries: 3, routerMessages: 88, routingSnapshots: 88, searchedSpans: 0 };

describe('StepMeter', () => {
  it('sums up the steps of a second, reports the longest one, and resets', () => {
    const meter = new StepMeter(0);
    meter.recordStep({ input: 'tick', startedAt: 0, returnedAt: 1, endedAt: 2, work: NO_WORK });
    meter.recordStep({ input: 'peer-message', startedAt: 10, returnedAt: 15, endedAt: 40, work: LONG_WORK });
    meter.recordTimerDelay(100, 160);
    meter.recordTimerDelay(200, 201);
    meter.recordWait(12, false);
    meter.recordWait(1200, true);
    expect(meter.takeReport(999)).to.equal(null);
    meter.recordStep({
      input: 'holder-answer',
      startedAt: 999,
      returnedAt: 1004,
      endedAt: 1004,
      work: NO_WORK,
    });
    expect(meter.takeReport(1004)).to.deep.equal({
      spanMillis: 1004,
      steps: 3,
      busyMillis: 37,
      longestMillis: 30,
      longestInput: 'peer-message',
      longestCoreMillis: 5,
      longestWork: LONG_WORK,
      lateMillis: 60,
      longestWaitMillis: 1200,
      expiredInputs: 1,
    });
    const empty = {
      steps: 0,
      busyMillis: 0,
      longestMillis: 0,
      longestInput: null,
      longestCoreMillis: 0,
      longestWork: null,
      lateMillis: 0,
      longestWaitMillis: 0,
      expiredInputs: 0,
    };
    expect(meter.takeReport(2004)).to.deep.equal({ spanMillis: 1000, ...empty });
  });
});
