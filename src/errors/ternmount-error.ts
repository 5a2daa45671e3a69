/** Base of the error hierarchy. Each layer defines its own subclasses and wraps lower-level errors as `cause`. */
import VError from 'verror';

/** Properties of every error of the project. */
export interface TernmountErrorOptions {
  /** Stable code, e.g. `TERNMOUNT_STORAGE_DAMAGED`. */
  readonly code: string;
  /** Whether the same call may succeed later without changes. */
  readonly retriable: boolean;
  readonly cause?: Error;
  /** Details for the log. */
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

/** Converts any thrown value to an `Error`. */
export function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}
