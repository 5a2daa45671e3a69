/** Receives signals of this process, and keeps them until something handles them. */

/** Signals that a daemon handles. */
export type HandledSignal = 'SIGHUP' | 'SIGINT' | 'SIGTERM';

/** Signals that stop any command. */
export const STOP_SIGNALS: readonly HandledSignal[] = ['SIGINT', 'SIGTERM'];
/** Signals that daemons handle from their first statement on. */
export const DAEMON_SIGNALS: readonly HandledSignal[] = [...STOP_SIGNALS, 'SIGHUP'];

/** A signal that this process received. */
export interface ReceivedSignal {
  readonly signal: HandledSignal;
  /** Time from the start of the process. */
  readonly uptimeMillis: number;
}

/** Handles each signal; called again for signals that were kept. */
export type SignalHandler = (received: ReceivedSignal) => void;

export class ProcessSignals {
  readonly #listened = new Set<HandledSignal>();
  readonly #kept: ReceivedSignal[] = [];
  #handler: SignalHandler | null = null;

  /** Replaces the default action of signals, which is to end the process. */
  listen(signals: readonly HandledSignal[]): void {
    for (const signal of signals.filter((name) => !this.#listened.has(name))) {
      this.#listened.add(signal);
      process.on(signal, () => this.#receive({ signal, uptimeMillis: Math.round(performance.now()) }));
    }
  }

  /** Sets the handler of the signals that were kept and of all later ones. */
  handle(handler: SignalHandler): void {
    this.#handler = handler;
    for (const received of this.#kept.splice(0)) {
      handler(received);
    }
  }

  #receive(received: ReceivedSignal): void {
    if (this.#handler === null) {
      this.#kept.push(received);
    } else {
      this.#handler(received);
    }
  }
}
