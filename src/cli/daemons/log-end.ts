/** Logs why and with which code a daemon's process ends. */
import { toError } from '../../errors/ternmount-error.js';
import { createLogger } from '../../logging/logger.js';
import { exitCodeOf } from '../cli-error.js';
import type { CliIo } from '../cli-io.js';
import type { ExitCode } from '../exit-codes.js';

/** Writes even if the settings that select the logs weren't read. */
const log = createLogger('process', { always: true });

/** Runs a daemon from reading its settings to its end, and logs that end. Errors are thrown on. */
export async function logEnd(io: CliIo, run: () => Promise<ExitCode>): Promise<ExitCode> {
  try {
    const exitCode = await run();
    log.info('process-ended', { exitCode, ...describeStop(io) });
    return exitCode;
  } catch (thrown) {
    const exitCode = exitCodeOf(thrown);
    log.error('process-ended', { exitCode, ...describeStop(io), error: toError(thrown) });
    throw thrown;
  }
}

interface StopDescription {
  readonly uptimeMillis: number;
  /** Signal that asked for the stop; omitted if none did. */
  readonly signal?: string;
  readonly signalUptimeMillis?: number;
}

function describeStop({ stoppedBy }: CliIo): StopDescription {
  const uptimeMillis = Math.round(performance.now());
  const received = stoppedBy?.();
  return received === undefined
    ? { uptimeMillis }
    : { uptimeMillis, signal: received.signal, signalUptimeMillis: received.uptimeMillis };
}
