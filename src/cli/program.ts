/** Runs one of several commands as a program. */
import { flushLogs } from '../logging/logger.js';
import { processIo } from './cli-io.js';
import type { CommandSpec } from './command-spec.js';
import type { ProcessSignals } from './process-signals.js';
import { runCommandLine } from './run-command-line.js';

/** Runs the command that the process's arguments name, then exits. */
export async function runProgram(commands: readonly CommandSpec[], signals: ProcessSignals): Promise<void> {
  process.exitCode = await runCommandLine(process.argv.slice(2), processIo(signals), commands);
  await flushLogs();
  // Idle connections of libraries must not keep the process alive.
  process.exit();
}
