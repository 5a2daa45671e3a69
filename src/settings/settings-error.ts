/** Errors of settings: one line that names the source, the path of the value and its place. */
import { TernmountError } from '../errors/ternmount-error.js';

/** Where a wrong value stands. */
export interface SettingsPlace {
  /** File name, `environment` or `flags`. */
  readonly source: string;
  /** Path of the value, e.g. `listen` or `services[2].deadline`; empty for the whole source. */
  readonly path: string;
  /** From 1; left out where the source has no lines. */
  readonly line?: number;
  readonly column?: number;
}

/** One wrong value. */
export interface SettingsProblem extends SettingsPlace {
  readonly message: string;
}

/** Writes a problem as `file:line:column: path: message`. */
export function formatProblem(problem: SettingsProblem): string {
  const place = problem.line === undefined ? '' : `:${problem.line}:${problem.column ?? 1}`;
  const path = problem.path === '' ? '' : ` ${problem.path}:`;
  return `${problem.source}${place}:${path} ${problem.message}`;
}

/** Settings that can't be used. Nothing was touched when it is thrown. */
export class SettingsError extends TernmountError {
  readonly problems: readonly SettingsProblem[];

  constructor(problems: readonly SettingsProblem[], cause?: Error) {
    const [first] = problems;
    const others = problems.length > 1 ? ` (and ${problems.length - 1} more)` : '';
    const message = first === undefined ? 'wrong settings' : `${formatProblem(first)}${others}`;
    super({ code: 'TERNMOUNT_SETTINGS_INVALID', retriable: false, cause, info: { problems } }, message);
    this.problems = problems;
  }
}
