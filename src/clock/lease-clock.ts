/** The clock of whoever holds a lease: monotonic, and it counts the time for which the machine was suspended. */
import { uptime } from 'node:os';
import { type ClockSources, SuspensionWatch } from './suspension-watch.js';

const MILLIS_PER_SECOND = 1000;

/** The clocks of this process. Asking for the time since boot takes about 5 microseconds. */
export const PROCESS_CLOCKS: ClockSources = {
  steady: () => performance.now(),
  sinceBoot: () => uptime() * MILLIS_PER_SECOND,
};

/** Makes a clock in milliseconds that never goes back. */
export function createLeaseClock(sources: ClockSources = PROCESS_CLOCKS): () => number {
  const watch = new SuspensionWatch(sources);
  let suspendedMillis = 0;
  return () => {
    suspendedMillis += watch.look();
    return sources.steady() + suspendedMillis;
  };
}
