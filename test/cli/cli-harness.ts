/** Runs command lines of `ternmount` in this process and captures their output. */

import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { type CliIo, interruptibleSleep } from '../../src/cli/cli-io.js';
import { COMMANDS } from '../../src/cli/command-list.js';
import { runCommandLine } from '../../src/cli/run-command-line.js';

/** The result of a command line. */
export interface CliResult {
  readonly exitCode: number;
  readonly output: string;
  readonly errors: string;
}

/** A temporary folder for the files of one test. */
export class ScratchFolder {
  readonly path = mkdtempSync(join(tmpdir(), 'ternmount-cli-'));

  /** Writes a file and returns its path. */
  write(name: string, text: string): string {
    const path = join(this.path, name);
    writeFileSync(path, text);
    return path;
  }

  remove(): void {
    rmSync(this.path, { recursive: true, force: true });
  }
}

/** Runs one command line; `environment` replaces that of the process. */
export async function runCli(
  words: readonly string[],
  environment: CliIo['environment'] = {},
  signal: AbortSignal = new AbortController().signal,
): Promise<CliResult> {
  let output = '';
  let errors = '';
  const io: CliIo = {
    write: (text) => {
      output += text;
    },
    writeError: (text) => {
      errors += text;
    },
    environment,
    stopSignal: signal,
    sleep: (millis) => interruptibleSleep(Math.min(millis, 20), signal),
  };
  const exitCode = await runCommandLine(words, io, COMMANDS);
  return { exitCode, output, errors };
}
