/** Errors of the command line, each with its exit code. */
import type { AdminErrorBody, AdminErrorCode } from '../control/admin/index.js';
import { TernmountError } from '../errors/ternmount-error.js';
import { formatProblem, SettingsError } from '../settings/settings-error.js';
import { ownEntry } from '../text/own-entry.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';

/** An error that ends the command with `exitCode`. */
export class CliError extends TernmountError {
  readonly exitCode: ExitCode;

  constructor(
    exitCode: ExitCode,
    code: string,
    message: string,
    options: { readonly retriable?: boolean } = {},
  ) {
    super({ code: `TERNMOUNT_CLI_${code}`, retriable: options.retriable ?? false }, message);
    this.exitCode = exitCode;
  }
}

/** An invalid command line. */
export class UsageError extends CliError {
  constructor(message: string) {
    super(EXIT_CODES.usage, 'USAGE', message);
  }
}

/** The requested object doesn't exist. */
export class NotFoundError extends CliError {
  constructor(message: string) {
    super(EXIT_CODES.failed, 'NOT_FOUND', message);
  }
}

/** No control member answered, and nothing was changed. */
export class UnreachableError extends CliError {
  constructor(message: string) {
    super(EXIT_CODES.unreachable, 'UNREACHABLE', message, { retriable: true });
  }
}

/** A change was sent, and its outcome is unknown. */
export class UnknownOutcomeError extends CliError {
  constructor(requestId: string, reason: string) {
    const advice = `repeat the command with --request-id ${requestId}: it isn't made twice`;
    const message = `the outcome is not known (${reason}); ${advice}`;
    super(EXIT_CODES.unreachable, 'UNKNOWN_OUTCOME', message, { retriable: true });
  }
}

const EXIT_CODE_BY_ADMIN_CODE: Readonly<Partial<Record<AdminErrorCode, ExitCode>>> = {
  'invalid-request': EXIT_CODES.usage,
  'invalid-definition': EXIT_CODES.usage,
  'invalid-policy': EXIT_CODES.usage,
  'body-too-large': EXIT_CODES.usage,
  unauthenticated: EXIT_CODES.refused,
  forbidden: EXIT_CODES.refused,
  rejected: EXIT_CODES.refused,
  conflict: EXIT_CODES.conflict,
  'not-leader': EXIT_CODES.unreachable,
  unavailable: EXIT_CODES.unreachable,
  overloaded: EXIT_CODES.unreachable,
  'outcome-unknown': EXIT_CODES.unreachable,
};

/** Control answered with an error. */
export class ControlAnswerError extends CliError {
  readonly adminCode: AdminErrorCode;
  readonly status: number;

  constructor(status: number, body: AdminErrorBody) {
    const { code, message, problems } = body.error;
    const lines = problems !== undefined && problems.length > 1 ? problems.join('\n') : message;
    super(
      ownEntry(EXIT_CODE_BY_ADMIN_CODE, code) ?? EXIT_CODES.failed,
      `CONTROL_${code.replaceAll('-', '_').toUpperCase()}`,
      lines,
    );
    this.adminCode = code;
    this.status = status;
  }
}

/** Codes of start-up errors caused by invalid settings or an unusable environment. */
const USAGE_CODES = new Set([
  'TERNMOUNT_SETTINGS_INVALID',
  'TERNMOUNT_LISTEN_FAILED',
  'TERNMOUNT_POLICY_INVALID',
  'TERNMOUNT_POLICY_TRACE',
  'TERNMOUNT_FOLDER_LOCKED',
  'TERNMOUNT_FOLDER_UNUSABLE',
]);

const REPLICA_LOST_CODE = 'TERNMOUNT_STORAGE_DAMAGED';

/** Returns the exit code for an error that ended a command. */
export function exitCodeOf(thrown: unknown): ExitCode {
  if (thrown instanceof CliError) {
    return thrown.exitCode;
  }
  if (thrown instanceof TernmountError && USAGE_CODES.has(thrown.code)) {
    return EXIT_CODES.usage;
  }
  if (thrown instanceof TernmountError && thrown.code === REPLICA_LOST_CODE) {
    return EXIT_CODES.replicaLost;
  }
  return EXIT_CODES.failed;
}

/** Runs `check`; turns a `SettingsError` into a `UsageError` with one line per problem. */
export function rethrowAsUsageError<Value>(check: () => Value): Value {
  try {
    return check();
  } catch (thrown) {
    if (thrown instanceof SettingsError) {
      throw new UsageError(thrown.problems.map(formatProblem).join('\n'));
    }
    throw thrown;
  }
}
