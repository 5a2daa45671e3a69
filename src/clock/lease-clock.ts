/** The clock of a lease holder: monotonic, and including the time for which the machine was suspended. */
import { uptime } from 'node:os';
import { type ClockSources, SuspensionWatch } from './suspension-watch.js';

const MILLIS_PER_SECOND = 1000;

/** The clocks of this process. Reading the time since boot takes about 5 microseconds. */
export const PROCESS_CLOCKS: ClockSources = {
  monotonic: () => performance.now(),
  sinceBoot: () => uptime() * MILLIS_PER_SECOND,
};

/** Creates a clock in milliseconds that never goes backwards. */
export function createLeaseClock(sources: ClockSources = PROCESS_CLOCKS): () => number {
  const watch = new SuspensionWatch(sources);
  let suspendedMillis = 0;
  return () => {
    suspendedMillis += watch.look();
    return sources.monotonic() + suspendedMillis;
  };
}
