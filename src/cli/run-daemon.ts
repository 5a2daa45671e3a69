/** Runs a daemon until it is stopped or fails. */
import type { CliIo } from './cli-io.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';

/** The interface common to all daemons. */
export interface Daemon {
  readonly failed: Promise<Error>;
  start(): Promise<void>;
  stop(): Promise<void>;
}

/** Resolves when the daemon has stopped on request; throws its error if it fails. */
export async function runDaemon(daemon: Daemon, io: CliIo): Promise<ExitCode> {
  await daemon.start();
  const stopped = new Promise<null>((resolve) => {
    if (io.stopSignal.aborted) {
      resolve(null);
    }
    io.stopSignal.addEventListener('abort', () => resolve(null), { once: true });
  });
  const failure = await Promise.race([stopped, daemon.failed]);
  if (failure !== null) {
    throw failure;
  }
  await daemon.stop();
  return EXIT_CODES.ok;
}
