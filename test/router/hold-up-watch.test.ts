/** Signals that come while the process is held up are heard late; timers tell by how much. */
import { once } from 'node:events';
import { readFile } from 'node:fs';
import { setImmediate as nextImmediate, setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { HoldUpWatch } from '../../src/router/hold-up-watch.js';

/** One that the test's runner doesn't handle. */
const SIGNAL = 'SIGUSR2';
/** Period of the watch's own timer. */
const LOOK_MILLIS = 100;
const BEFORE_MILLIS = 230;
const HOLD_UP_MILLIS = 600;

/** Ways in which something is called that holds the process up. */
const HOLD_UPS: Readonly<Record<string, (run: () => void) => void>> = {
  'in a timer': (run) => void setTimeout(run, 1),
  'in an immediate': (run) => void setImmediate(run),
  'in what was read': (run) => readFile('/dev/null', run),
};

function holdUp(): void {
  const end = performance.now() + HOLD_UP_MILLIS;
  while (performance.now() < end) {
    // Nothing else runs.
  }
}

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

  // Guards against the same where the hold-up is in a timer: signals are heard before the timers that it made late.
  for (const [where, inTurn] of Object.entries(HOLD_UPS)) {
    it(`may have come since the watch's own timer was due, after a hold-up ${where}`, async () => {
      const watch = new HoldUpWatch();
      watch.start();
      await sleep(BEFORE_MILLIS);
      let sentAt = 0;
      const heard = once(process, SIGNAL).then(() => {
        const now = performance.now();
        return { sinceSentMillis: now - sentAt, heldUpMillis: now - watch.earliestSignalAt(now) };
      });
      inTurn(() => {
        sentAt = performance.now();
        process.kill(process.pid, SIGNAL);
        holdUp();
      });
      const { sinceSentMillis, heldUpMillis } = await heard;
      watch.stop();
      expect(heldUpMillis).to.be.within(sinceSentMillis - LOOK_MILLIS, sinceSentMillis + BEFORE_MILLIS);
    });
  }

  it('has come now once the watch is stopped', async () => {
    const watch = new HoldUpWatch();
    watch.start();
    watch.stop();
    await sleep(2 * LOOK_MILLIS);
    const now = performance.now();
    expect(watch.earliestSignalAt(now)).to.equal(now);
  });
});
