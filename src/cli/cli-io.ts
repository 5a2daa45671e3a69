/** Input and output of commands; tests supply their own. */
import { setTimeout as sleep } from 'node:timers/promises';
import { createLogger } from '../logging/logger.js';
import {
  type HandledSignal,
  type ProcessSignals,
  type ReceivedSignal,
  type SignalHandler,
  STOP_SIGNALS,
} from './process-signals.js';

const log = createLogger('process');

/** The process interface of a command: output, environment, signals and sleep. */
export interface CliIo {
  /** Writes to standard output. */
  write(text: string): void;
  /** Writes to standard error. */
  writeError(text: string): void;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Aborted when the user or a supervisor stops the command. */
  readonly stopSignal: AbortSignal;
  /** The signal that aborted `stopSignal`, if it was one. */
  readonly stoppedBy?: () => ReceivedSignal | undefined;
  /** Registers a listener for requests to reload the settings; omitted if reloading isn't supported. */
  readonly onReload?: (listener: () => void) => void;
  /** Resolves early, without an error, when `stopSignal` is aborted. */
  sleep(millis: number): Promise<void>;
}

/** Sleeps; returns early, without an error, when `signal` is aborted. */
export async function interruptibleSleep(millis: number, signal: AbortSignal): Promise<void> {
  await sleep(millis, undefined, { signal }).catch((error: Error) => {
    if (error.name !== 'AbortError') {
      throw error;
    }
  });
}

/**
 * Creates the io of this process: SIGINT and SIGTERM abort the stop signal, SIGHUP reloads the settings. Requests to reload are kept until
 * there is a listener for them.
 */
export function processIo(signals: ProcessSignals): CliIo {
  const controller = new AbortController();
  const reloads = new ReloadRequests();
  let stoppedBy: ReceivedSignal | undefined;
  const stop = (received: ReceivedSignal): void => {
    logReceived(received);
    stoppedBy ??= received;
    controller.abort();
  };
  const handlers: Readonly<Record<HandledSignal, SignalHandler>> = {
    SIGHUP: (received) => reloads.add(received),
    SIGINT: stop,
    SIGTERM: stop,
  };
  const standardError = new StandardError();
  signals.listen(STOP_SIGNALS);
  signals.handle((received) => handlers[received.signal](received));
  return {
    write: (text) => void process.stdout.write(text),
    writeError: (text) => standardError.write(text),
    environment: process.env,
    stopSignal: controller.signal,
    stoppedBy: () => stoppedBy,
    onReload: (listener) => reloads.listen(listener),
    sleep: (millis) => interruptibleSleep(millis, controller.signal),
  };
}

/** Standard error; a failed write, as after its reader has gone, doesn't change how the process ends. */
class StandardError {
  #hasListener = false;

  write(text: string): void {
    if (!this.#hasListener) {
      this.#hasListener = true;
      process.stderr.on('error', (error) => log.warn('standard-error-failed', { error }));
    }
    process.stderr.write(text);
  }
}

/** Requests to reload the settings; those without a listener are kept for it, as one. */
class ReloadRequests {
  readonly #kept: ReceivedSignal[] = [];
  #listener: (() => void) | null = null;

  add(received: ReceivedSignal): void {
    if (this.#listener === null) {
      this.#kept.push(received);
    } else {
      logReceived(received);
      this.#listener();
    }
  }

  listen(listener: () => void): void {
    this.#listener = listener;
    const kept = this.#kept.splice(0);
    kept.forEach(logReceived);
    if (kept.length > 0) {
      listener();
    }
  }
}

function logReceived(received: ReceivedSignal): void {
  log.info('signal-received', { ...received });
}
