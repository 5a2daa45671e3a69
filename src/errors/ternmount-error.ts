/** Root of the error hierarchy. Each layer has its own subclasses and wraps errors from below as `cause`. */
import VError from 'verror';

/** What every error of the project carries. */
export interface TernmountErrorOptions {
  /** Stable code, e.g. `TERNMOUNT_STORAGE_DAMAGED`. */
  readonly code: string;
  /** Whether the same call may succeed later without a change by the caller. */
  readonly retriable: boolean;
  readonly cause?: Error;
  /** Facts for the log. */
  readonly info?: Readonly<Record<string, unknown>>;
}

export class TernmountError extends VError {
  readonly code: string;
  readonly retriable: boolean;

  constructor(options: TernmountErrorOptions, message: string) {
    super({ name: new.target.name, cause: options.cause, info: { ...options.info } }, '%s', message);
    this.code = options.code;
    this.retriable = options.retriable;
  }
}

/** Turns whatever was thrown into an `Error`. */
export function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}
