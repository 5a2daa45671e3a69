/** Input and output of commands; tests supply their own. */
import { setTimeout as sleep } from 'node:timers/promises';
import { createLogger } from '../logging/logger.js';
import { type HandledSignal, ReceivedSignal } from './received-signal.js';

const log = createLogger('process');

/** The process interface of a command: output, environment, signals and sleep. */
export interface CliIo {
  /** Writes to standard output. */
  write(text: string): void;
  /** Writes to standard error. */
  writeError(text: string): void;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Aborted when the user or a supervisor stops the command; the reason is the `ReceivedSignal`, if it was one. */
  readonly stopSignal: AbortSignal;
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

/** Creates the io of this process: SIGINT and SIGTERM abort the stop signal, SIGHUP reloads the settings. */
export function processIo(): CliIo {
  const controller = new AbortController();
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.on(signal, () => controller.abort(receive(signal)));
  }
  return {
    write: (text) => void process.stdout.write(text),
    writeError: (text) => void process.stderr.write(text),
    environment: process.env,
    stopSignal: controller.signal,
    onReload: (listener) =>
      void process.on('SIGHUP', () => {
        receive('SIGHUP');
        listener();
      }),
    sleep: (millis) => interruptibleSleep(millis, controller.signal),
  };
}

function receive(signal: HandledSignal): ReceivedSignal {
  const received = new ReceivedSignal(signal);
  log.info('signal-received', { ...received });
  return received;
}
