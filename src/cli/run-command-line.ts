/** Runs one command line. A failure is printed on standard error and returned as an exit code, never thrown. */
import { readFileSync } from 'node:fs';
import { TernmountError, toError } from '../errors/ternmount-error.js';
import { exitCodeOf } from './cli-error.js';
import type { CliIo } from './cli-io.js';
import type { CommandSpec } from './command-spec.js';
import { dispatch, PROGRAM_NAME } from './dispatcher.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';

const PACKAGE_FILE = new URL('../../../package.json', import.meta.url);

/** Runs the command in `words`, the arguments after the program's name. */
export async function runCommandLine(
  words: readonly string[],
  io: CliIo,
  commands: readonly CommandSpec[],
): Promise<ExitCode> {
  try {
    return await runCommand(words, io, commands);
  } catch (thrown) {
    io.writeError(`${PROGRAM_NAME}: ${describeError(thrown)}\n`);
    return exitCodeOf(thrown);
  }
}

async function runCommand(
  words: readonly string[],
  io: CliIo,
  commands: readonly CommandSpec[],
): Promise<ExitCode> {
  const dispatched = dispatch(commands, words);
  switch (dispatched.type) {
    case 'help':
      return EXIT_CODES.ok;
    case 'version':
      io.write(`${readVersion()}\n`);
      return EXIT_CODES.ok;
    case 'run': {
      const { command, positionals, options } = dispatched;
      return command.run({ positionals, options, io });
    }
  }
}

function readVersion(): string {
  return (JSON.parse(readFileSync(PACKAGE_FILE, 'utf8')) as { version: string }).version;
}

/** Returns the message of a `TernmountError`. Any other error is a bug, so its stack is returned. */
function describeError(thrown: unknown): string {
  const error = toError(thrown);
  return error instanceof TernmountError ? error.message : (error.stack ?? error.message);
}
