/** Reasons to abort an attempt; each of them closes its connection. */
import { TernmountError } from '../../errors/ternmount-error.js';

export type AttemptFailure =
  | 'cancelled'
  | 'recalled'
  | 'other-request-id'
  | 'no-length'
  | 'sent-twice'
  | 'no-reader'
  | 'head-too-large'
  | 'endless'
  | 'reset';

export class AttemptAbortedError extends TernmountError {
  constructor(readonly failure: AttemptFailure) {
    super({ code: 'TERNMOUNT_ROUTER_ATTEMPT_ABORTED', retriable: false }, `attempt aborted: ${failure}`);
  }
}
