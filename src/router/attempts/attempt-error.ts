/** Errors of attempts and of their connections. */
import { TernmountError } from '../../errors/ternmount-error.js';

/** Reasons to abort an attempt; each of them closes its connection. */
export type AttemptFailure =
  | 'cancelled'
  | 'recalled'
  | 'other-request-id'
  | 'no-length'
  | 'coded-body'
  | 'no-body'
  | 'sent-twice'
  | 'no-reader'
  | 'head-too-large'
  | 'malformed-head'
  | 'endless'
  | 'stalled';

export class AttemptAbortedError extends TernmountError {
  constructor(readonly failure: AttemptFailure) {
    super({ code: 'TERNMOUNT_ROUTER_ATTEMPT_ABORTED', retriable: false }, `attempt aborted: ${failure}`);
  }
}

export const CONNECTION_RESET_CODE = 'TERNMOUNT_ROUTER_CONNECTION_RESET';

/** The connection to an upstream ended otherwise than with a FIN, or it can't be told. */
export class ConnectionResetError extends TernmountError {
  constructor(cause?: Error) {
    super(
      { code: CONNECTION_RESET_CODE, retriable: true, ...(cause && { cause }) },
      'the connection to the upstream was reset',
    );
  }
}
