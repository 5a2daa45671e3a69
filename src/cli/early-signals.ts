/** Listens for a daemon's signals as soon as it is loaded. Loaded before everything else, so it imports next to nothing. */
import { DAEMON_SIGNALS, ProcessSignals } from './process-signals.js';

/** Word of the commands that run a daemon. */
const DAEMON_VERB = 'run';

/** The signals of this process. */
export const earlySignals = new ProcessSignals();

if (process.argv.includes(DAEMON_VERB)) {
  earlySignals.listen(DAEMON_SIGNALS);
}
