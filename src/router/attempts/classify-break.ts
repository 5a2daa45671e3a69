/** Classifies how a connection ended by the error of the HTTP client. */
import { CONNECTION_BREAKS, type ConnectionBreak } from '../../routing/connection-break.js';
import { ownEntry } from '../../text/own-entry.js';
import { RELAY_LOST_CODE } from '../relay/relay-error.js';
import { AttemptAbortedError, type AttemptFailure, CONNECTION_RESET_CODE } from './attempt-error.js';

/** Codes of errors of the HTTP client and the system; any other code means that the data received was no valid answer. */
const BREAK_BY_CODE: Readonly<Record<string, ConnectionBreak>> = {
  UND_ERR_SOCKET: CONNECTION_BREAKS.closed,
  [CONNECTION_RESET_CODE]: CONNECTION_BREAKS.reset,
  ECONNABORTED: CONNECTION_BREAKS.reset,
  EPIPE: CONNECTION_BREAKS.reset,
  [RELAY_LOST_CODE]: CONNECTION_BREAKS.relayLost,
};

const BREAK_BY_FAILURE: Readonly<Record<AttemptFailure, ConnectionBreak>> = {
  cancelled: CONNECTION_BREAKS.stalled,
  recalled: CONNECTION_BREAKS.stalled,
  'other-request-id': CONNECTION_BREAKS.wrongAnswer,
  'no-length': CONNECTION_BREAKS.wrongAnswer,
  'coded-body': CONNECTION_BREAKS.wrongAnswer,
  'no-body': CONNECTION_BREAKS.wrongAnswer,
  'sent-twice': CONNECTION_BREAKS.wrongAnswer,
  'no-reader': CONNECTION_BREAKS.stalled,
  'head-too-large': CONNECTION_BREAKS.wrongAnswer,
  'malformed-head': CONNECTION_BREAKS.wrongAnswer,
  endless: CONNECTION_BREAKS.wrongAnswer,
  stalled: CONNECTION_BREAKS.stalled,
};

export function classifyBreak(error: Error): ConnectionBreak {
  if (error instanceof AttemptAbortedError) {
    return BREAK_BY_FAILURE[error.failure];
  }
  const { code = '' } = error as NodeJS.ErrnoException;
  return ownEntry(BREAK_BY_CODE, code) ?? CONNECTION_BREAKS.wrongAnswer;
}
