/** Errors of the operators' API; each becomes an HTTP answer with a JSON body. */
import { TernmountError } from '../../errors/ternmount-error.js';

/** Stable codes in `error.code` of an answer. */
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

const STATUS_OF_CODE: Readonly<Record<AdminErrorCode, number>> = {
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

/** Facts beside code and message. */
export interface AdminErrorDetails {
  /** Path of the wrong value in the request's body. */
  readonly path?: string;
  /** Each thing that is wrong, if there are several. */
  readonly problems?: readonly string[];
  /** `conflict`: the revision now; 0: it doesn't exist. */
  readonly currentRevision?: number;
  /** `not-leader`: internal address of the leader, if known. */
  readonly leader?: string | null;
  /** `outcome-unknown`: resend with this id to learn the outcome. */
  readonly requestId?: string;
}

/** JSON body of an answer that isn't a success. */
export interface AdminErrorBody {
  readonly error: { readonly code: AdminErrorCode; readonly message: string } & AdminErrorDetails;
}

/** An answer of the operators' API that isn't a success. */
export class AdminError extends TernmountError {
  readonly adminCode: AdminErrorCode;
  readonly status: number;
  readonly details: AdminErrorDetails;
  /** The message without those of causes, which callers don't see. */
  readonly #text: string;

  /** `status` overrides the code's own, e.g. 412 for a lost precondition. */
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
    this.status = options.status ?? STATUS_OF_CODE[adminCode];
    this.details = details;
    this.#text = message;
  }

  /** What the answer's body holds. */
  body(): AdminErrorBody {
    return { error: { code: this.adminCode, message: this.#text, ...this.details } };
  }
}
