/** Classifies why a connection to an upstream couldn't be opened. */
import type { RelayFailure } from '../../routing/paths/path-watch.js';
import type { AttemptResult } from '../../routing/types.js';
import { RelayOpenError, type RelayOpenFailure } from '../relay/relay-error.js';
import { ConnectionTurnedAwayError } from './settled-connector.js';

type ConnectFailed = Extract<AttemptResult, { readonly type: 'connect-failed' }>;

/** Failures that are the relay's; the others are those of its connection to the upstream. */
const RELAY_FAILURES: Readonly<Partial<Record<RelayOpenFailure, RelayFailure>>> = {
  lost: 'lost',
  busy: 'busy',
  stopping: 'closing',
  'no-path': 'no-path',
  'unknown-upstream': 'no-path',
};

export function connectFailure(error: Error): ConnectFailed {
  if (error instanceof RelayOpenError) {
    return ofRelay(error);
  }
  const turnedAway = error instanceof ConnectionTurnedAwayError;
  const refused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
  return { type: 'connect-failed', closedOnAccept: turnedAway, refused };
}

function ofRelay({ failure }: RelayOpenError): ConnectFailed {
  const relayFailure = RELAY_FAILURES[failure];
  if (relayFailure !== undefined) {
    return { type: 'connect-failed', relayFailure };
  }
  return {
    type: 'connect-failed',
    closedOnAccept: failure === 'turned-away',
    refused: failure === 'refused',
  };
}
