/** An operator of a fleet: works with the `ternmount` command as a person would. */
import { execFile } from 'node:child_process';
import { TernmountError } from '../../errors/ternmount-error.js';
import type { FleetPlan } from './fleet-plan.js';
import { TERNMOUNT_PROGRAM } from './process-specs.js';

const COMMAND_TIMEOUT_MILLIS = 60_000;

/** How a command ended. */
export interface CommandResult {
  /** `null` if it was killed. */
  readonly exitCode: number | null;
  readonly output: string;
}

/** A command that must succeed did not. */
export class OperatorCommandError extends TernmountError {
  constructor(words: readonly string[], result: CommandResult) {
    const options = { code: 'TERNMOUNT_OPERATOR_COMMAND', retriable: false, info: { words } };
    super(options, `ternmount ${words.join(' ')} ended with ${result.exitCode}: ${result.output.trim()}`);
  }
}

export class Operator {
  readonly #control: string;
  readonly #signal: AbortSignal;

  /** `signal` ends commands under way. */
  constructor(plan: FleetPlan, signal: AbortSignal) {
    this.#control = plan.control.map(({ admin }) => admin).join(',');
    this.#signal = signal;
  }

  /** Runs `ternmount <words>` with control's addresses. */
  async run(words: readonly string[]): Promise<CommandResult> {
    return this.runLocal([...words, '--control', this.#control]);
  }

  /** Runs `ternmount <words>` as they are. */
  async runLocal(words: readonly string[]): Promise<CommandResult> {
    const options = { timeout: COMMAND_TIMEOUT_MILLIS, signal: this.#signal };
    return new Promise((resolve) => {
      execFile(process.execPath, [TERNMOUNT_PROGRAM, ...words], options, (error, stdout, stderr) => {
        const code = error === null ? 0 : error.code;
        resolve({ exitCode: typeof code === 'number' ? code : null, output: stdout + stderr });
      });
    });
  }

  /** Throws `OperatorCommandError` unless the command succeeds. */
  async must(words: readonly string[]): Promise<CommandResult> {
    return this.#check(words, await this.run(words));
  }

  /** As `must`, for commands that don't talk to control. */
  async mustLocal(words: readonly string[]): Promise<CommandResult> {
    return this.#check(words, await this.runLocal(words));
  }

  #check(words: readonly string[], result: CommandResult): CommandResult {
    if (result.exitCode !== 0) {
      throw new OperatorCommandError(words, result);
    }
    return result;
  }
}
