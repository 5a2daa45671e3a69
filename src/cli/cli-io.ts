/** What commands use of the process that runs them; tests give their own. */
import { setTimeout as sleep } from 'node:timers/promises';

/** What a command line run reads from and writes to; replaced in tests. */
export interface CliIo {
  /** Writes to standard output. */
  write(text: string): void;
  /** Writes to standard error. */
  writeError(text: string): void;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Aborted when the user or a supervisor wants the command to end. */
  readonly stopSignal: AbortSignal;
  /** Has `listener` called whenever the process is told to read its settings again. Left out: it never is. */
  readonly onReload?: (listener: () => void) => void;
  /** Resolves early, without an error, when `stopSignal` is aborted. */
  sleep(millis: number): Promise<void>;
}

/** Waits, and returns early when `signal` is aborted. */
export async function interruptibleSleep(millis: number, signal: AbortSignal): Promise<void> {
  await sleep(millis, undefined, { signal }).catch((error: Error) => {
    if (error.name !== 'AbortError') {
      throw error;
    }
  });
}

/** The io of this process: SIGINT and SIGTERM abort the stop signal. */
export function processIo(): CliIo {
  const controller = new AbortController();
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.on(signal, () => controller.abort());
  }
  return {
    write: (text) => void process.stdout.write(text),
    writeError: (text) => void process.stderr.write(text),
    environment: process.env,
    stopSignal: controller.signal,
    onReload: (listener) => void process.on('SIGHUP', listener),
    sleep: (millis) => interruptibleSleep(millis, controller.signal),
  };
}
