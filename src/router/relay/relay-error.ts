/** Errors of connections that another router carries. */
import { TernmountError } from '../../errors/ternmount-error.js';
import type { RelayResult } from '../../wire/relay/relay-messages.js';

/** Why a connection over a relay couldn't be opened. `lost`: the relay couldn't be reached, or it didn't answer. */
export type RelayOpenFailure = Exclude<RelayResult, 'open'> | 'lost';

/** A connection over a relay couldn't be opened, so nothing was sent on it. */
export class RelayOpenError extends TernmountError {
  constructor(
    readonly failure: RelayOpenFailure,
    cause?: Error,
  ) {
    super(
      { code: 'TERNMOUNT_ROUTER_RELAY_NOT_OPENED', retriable: true, ...(cause && { cause }) },
      `no connection over the relay: ${failure}`,
    );
  }
}

/** The connection to a relay ended, so that it isn't known what became of the one to the upstream. */
export class RelayLostError extends TernmountError {
  constructor(cause?: Error) {
    super(
      { code: RELAY_LOST_CODE, retriable: true, ...(cause && { cause }) },
      'the connection to the relay ended',
    );
  }
}

export const RELAY_LOST_CODE = 'TERNMOUNT_ROUTER_RELAY_LOST';
