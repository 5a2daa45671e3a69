/** Runs command lines in the test's own process. */

import type { CliIo } from '../../src/cli/cli-io.js';
import { interruptibleSleep } from '../../src/cli/cli-io.js';
import { COMMANDS } from '../../src/cli/command-list.js';
import { runCommandLine } from '../../src/cli/run-command-line.js';

export interface CommandLineResult {
  readonly exitCode: number;
  readonly output: string;
  readonly errors: string;
}

/** Runs `words` with this environment and no other; gives up after `timeoutMillis`. */
export async function runLine(
  words: readonly string[],
  environment: Readonly<Record<string, string>> = {},
  timeoutMillis = 20_000,
): Promise<CommandLineResult> {
  let output = '';
  let errors = '';
  const io: CliIo = {
    ...processIoFor(timeoutMillis),
    write: (text) => {
      output += text;
    },
    writeError: (text) => {
      errors += text;
    },
    environment,
  };
  const exitCode = await runCommandLine(words, io, COMMANDS);
  return { exitCode, output, errors };
}

/** An io without output or environment, stopped after `timeoutMillis`. */
export function processIoFor(timeoutMillis: number): CliIo {
  const stopSignal = AbortSignal.timeout(timeoutMillis);
  return {
    write: () => {},
    writeError: () => {},
    environment: {},
    stopSignal,
    sleep: (millis) => interruptibleSleep(millis, stopSignal),
  };
}
