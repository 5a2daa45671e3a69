/** An operator of a fleet: runs the `ternmount` command as a person would. */
import { execFile } from 'node:child_process';
import { TernmountError } from '../../errors/ternmount-error.js';
import type { FleetPlan } from './fleet-plan.js';
import { TERNMOUNT_PROGRAM } from './process-specs.js';

const COMMAND_TIMEOUT_MILLIS = 60_000;

/** The result of a command. */
export interface CommandResult {
  /** `null` if the command was killed. */
  readonly exitCode: number | null;
  readonly output: string;
}

/** A command that must succeed failed. */
export class OperatorCommandError extends TernmountError {
  constructor(words: readonly string[], result: CommandResult) {
    const options = { code: 'TERNMOUNT_OPERATOR_COMMAND', retriable: false, info: { words } };
    super(options, `ternmount ${words.join(' ')} ended with ${result.exitCode}: ${result.output.trim()}`);
  }
}

export class Operator {
  readonly #control: string;
  readonly #signal: AbortSignal;

  /** `signal` aborts running commands. */
  constructor(plan: FleetPlan, signal: AbortSignal) {
    this.#control = plan.control.map(({ admin }) => admin).join(',');
    this.#signal = signal;
  }

  /** Runs `ternmount <words>` with the addresses of control. */
  async run(words: readonly string[]): Promise<CommandResult> {
    return this.runLocal([...words, '--control', this.#control]);
  }

  /** Runs `ternmount <words>` without adding arguments. */
  async runLocal(words: readonly string[]): Promise<CommandResult> {
    const options = { timeout: COMMAND_TIMEOUT_MILLIS, signal: this.#signal };
    return new Promise((resolve) => {
      execFile(process.execPath, [TERNMOUNT_PROGRAM, ...words], options, (error, stdout, stderr) => {
        const code = error === null ? 0 : error.code;
        resolve({ exitCode: typeof code === 'number' ? code : null, output: stdout + stderr });
      });
    });
  }

  /** As `run`; throws `OperatorCommandError` unless the command succeeds. */
  async runOrThrow(words: readonly string[]): Promise<CommandResult> {
    return this.#assertSuccess(words, await this.run(words));
  }

  /** As `runOrThrow`, for commands that don't connect to control. */
  async runLocalOrThrow(words: readonly string[]): Promise<CommandResult> {
    return this.#assertSuccess(words, await this.runLocal(words));
  }

  #assertSuccess(words: readonly string[], result: CommandResult): CommandResult {
    if (result.exitCode !== 0) {
      throw new OperatorCommandError(words, result);
    }
    return result;
  }
}
