/** A signal that this process received, and when. Imports nothing, so that it can be loaded before everything else. */

/** Signals that a daemon handles. */
export type HandledSignal = 'SIGHUP' | 'SIGINT' | 'SIGTERM';

export class ReceivedSignal {
  /** Time since the start of the process. */
  readonly uptimeMillis = Math.round(performance.now());

  constructor(readonly signal: HandledSignal) {}
}
