/** Signals that come while the process is held up are heard late; timers tell by how much. */
import { setImmediate as nextImmediate } from 'node:timers/promises';
import { expect } from 'chai';
import { HoldUpWatch } from '../../src/router/hold-up-watch.js';

describe('a signal that is heard', () => {
  it('has come now if timers fire in time', () => {
    const watch = new HoldUpWatch();
    watch.recordTimer(1000, 1005);
    expect(watch.earliestSignalAt(1006)).to.equal(1006);
  });

  // Guards against stops that count their time from the end of a hold-up, and are still at work when the process is killed.
  it('may have come since a timer was due that fired late in the same turn', async () => {
    const watch = new HoldUpWatch();
    watch.recordTimer(1000, 1900);
    watch.recordTimer(1700, 1901);
    expect(watch.earliestSignalAt(1902)).to.equal(1000);
    await nextImmediate();
    expect(watch.earliestSignalAt(1950)).to.equal(1950);
  });
});
