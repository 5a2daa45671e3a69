/** Settings errors: one line with the source, the path of the value and its location. */
import { TernmountError } from '../errors/ternmount-error.js';

/** Location of an invalid value. */
export interface SettingsLocation {
  /** File name, environment variable, flag or `settings`. */
  readonly source: string;
  /** Path of the value, e.g. `listen` or `services[2].deadline`; empty for the whole source. */
  readonly path: string;
  /** Starts at 1; omitted for sources without lines. */
  readonly line?: number;
  readonly column?: number;
}

/** One invalid value. */
export interface SettingsProblem extends SettingsLocation {
  readonly message: string;
  /** The file is missing or incomplete, which a later read may find mended. */
  readonly mayPass?: boolean;
}

/** Formats a problem as `file:line:column: path: message`. */
export function formatProblem(problem: SettingsProblem): string {
  const place = problem.line === undefined ? '' : `:${problem.line}:${problem.column ?? 1}`;
  const path = problem.path === '' ? '' : ` ${problem.path}:`;
  return `${problem.source}${place}:${path} ${problem.message}`;
}

/** Invalid settings. Thrown before anything is changed. */
export class SettingsError extends TernmountError {
  readonly problems: readonly SettingsProblem[];

  constructor(problems: readonly SettingsProblem[], cause?: Error) {
    const [first] = problems;
    const others = problems.length > 1 ? ` (and ${problems.length - 1} more)` : '';
    const message = first === undefined ? 'invalid settings' : `${formatProblem(first)}${others}`;
    super({ code: 'TERNMOUNT_SETTINGS_INVALID', retriable: false, cause, info: { problems } }, message);
    this.problems = problems;
  }
}
