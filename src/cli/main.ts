#!/usr/bin/env node
/** `ternmount`: runs one subcommand and ends with its exit code; a failure is one line on standard error. */
import { readFileSync } from 'node:fs';
import { describeFailure, exitCodeOf } from './cli-error.js';
import { type CliIo, processIo } from './cli-io.js';
import { COMMANDS } from './command-list.js';
import { dispatch, PROGRAM_NAME } from './dispatcher.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';

const PACKAGE_FILE = new URL('../../../package.json', import.meta.url);

function readVersion(): string {
  return (JSON.parse(readFileSync(PACKAGE_FILE, 'utf8')) as { version: string }).version;
}

async function runCommand(words: readonly string[], io: CliIo): Promise<ExitCode> {
  const dispatched = dispatch(COMMANDS, words);
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

async function main(): Promise<void> {
  const io = processIo();
  try {
    process.exitCode = await runCommand(process.argv.slice(2), io);
  } catch (thrown) {
    io.writeError(`${PROGRAM_NAME}: ${describeFailure(thrown)}\n`);
    process.exitCode = exitCodeOf(thrown);
  }
  // Idle connections of libraries must not keep the process.
  process.exit();
}

await main();
