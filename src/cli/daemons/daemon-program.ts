/** Runs one daemon command as a program, with the arguments and settings of `ternmount`. */
import { flushLogs } from '../../logging/logger.js';
import { processIo } from '../cli-io.js';
import type { CommandSpec } from '../command-spec.js';
import { runCommandLine } from '../run-command-line.js';

/** Runs `command` with the process's arguments, then exits. */
export async function runDaemonProgram(command: CommandSpec): Promise<void> {
  process.exitCode = await runCommandLine(process.argv.slice(2), processIo(), [command]);
  await flushLogs();
  // Idle connections of libraries must not keep the process alive.
  process.exit();
}
