/** Runs a daemon until it is stopped or fails. */
import type { CliIo } from './cli-io.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';

/** The interface common to all daemons. */
export interface Daemon {
  readonly failed: Promise<Error>;
  start(): Promise<void>;
  /** Also called while `start` is in progress, which then ends soon. */
  stop(): Promise<void>;
}

/** A daemon that can be started. */
export interface PreparedDaemon {
  readonly daemon: Daemon;
  /** Called when the daemon has ended. */
  readonly close: () => void;
}

/**
 * Resolves when the daemon has stopped on request, which may come at any moment: what `prepare` still does then is abandoned, as if the
 * process had been killed. Throws the daemon's error if it fails.
 */
export async function runDaemon(io: CliIo, prepare: () => Promise<PreparedDaemon>): Promise<ExitCode> {
  const stopped = stopOf(io.stopSignal);
  const prepared = await Promise.race([stopped, prepare()]);
  if (prepared === null) {
    return EXIT_CODES.ok;
  }
  try {
    await run(prepared.daemon, stopped);
  } finally {
    prepared.close();
  }
  return EXIT_CODES.ok;
}

async function run(daemon: Daemon, stopped: Promise<null>): Promise<void> {
  const failure = await Promise.race([stopped, daemon.start().then(() => daemon.failed), daemon.failed]);
  if (failure !== null) {
    throw failure;
  }
  await daemon.stop();
}

function stopOf(signal: AbortSignal): Promise<null> {
  return new Promise((resolve) => {
    if (signal.aborted) {
      resolve(null);
    }
    signal.addEventListener('abort', () => resolve(null), { once: true });
  });
}
