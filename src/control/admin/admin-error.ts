/** Errors of the operator API; each is sent as an HTTP response with a JSON body. */
import { TernmountError } from '../../errors/ternmount-error.js';

/** Stable values of `error.code` in a response body. */
export type AdminErrorCode =
  | 'invalid-request'
  | 'invalid-definition'
  | 'invalid-policy'
  | 'unauthenticated'
  | 'forbidden'
  | 'not-found'
  | 'method-not-allowed'
  | 'conflict'
  | 'rejected'
  | 'not-leader'
  | 'outcome-unknown'
  | 'body-too-large'
  | 'unsupported-media-type'
  | 'overloaded'
  | 'unavailable'
  | 'internal';

const STATUS_BY_CODE: Readonly<Record<AdminErrorCode, number>> = {
  'invalid-request': 400,
  'invalid-definition': 422,
  'invalid-policy': 422,
  unauthenticated: 401,
  forbidden: 403,
  'not-found': 404,
  'method-not-allowed': 405,
  conflict: 409,
  rejected: 422,
  'not-leader': 503,
  'outcome-unknown': 504,
  'body-too-large': 413,
  'unsupported-media-type': 415,
  overloaded: 503,
  unavailable: 503,
  internal: 500,
};
const RETRIABLE_CODES = new Set<AdminErrorCode>([
  'not-leader',
  'outcome-unknown',
  'overloaded',
  'unavailable',
]);

/** Optional details besides code and message. */
export interface AdminErrorDetails {
  /** Path of the invalid value in the request body. */
  readonly path?: string;
  /** Every problem found, if there are several. */
  readonly problems?: readonly string[];
  /** For `conflict`: the current revision, 0 if the object doesn't exist. */
  readonly currentRevision?: number;
  /** For `not-leader`: internal address of the leader, if known. */
  readonly leader?: string | null;
  /** For `outcome-unknown`: resending the request with this id returns the outcome. */
  readonly requestId?: string;
}

/** JSON body of an error response. */
export interface AdminErrorBody {
  readonly error: { readonly code: AdminErrorCode; readonly message: string } & AdminErrorDetails;
}

/** An error response of the operator API. */
export class AdminError extends TernmountError {
  readonly adminCode: AdminErrorCode;
  readonly status: number;
  readonly details: AdminErrorDetails;
  /** The message without the messages of causes, which clients must not see. */
  readonly #publicMessage: string;

  /** `status` overrides the default status of the code, e.g. 412 for a failed precondition. */
  constructor(
    adminCode: AdminErrorCode,
    message: string,
    details: AdminErrorDetails = {},
    options: { readonly status?: number; readonly cause?: Error } = {},
  ) {
    const code = `TERNMOUNT_ADMIN_${adminCode.replaceAll('-', '_').toUpperCase()}`;
    super(
      { code, retriable: RETRIABLE_CODES.has(adminCode), cause: options.cause, info: { ...details } },
      message,
    );
    this.adminCode = adminCode;
    this.status = options.status ?? STATUS_BY_CODE[adminCode];
    this.details = details;
    this.#publicMessage = message;
  }

  /** Returns the body of the response. */
  body(): AdminErrorBody {
    return { error: { code: this.adminCode, message: this.#publicMessage, ...this.details } };
  }
}
