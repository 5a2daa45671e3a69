/** Log entries and heartbeats of the leader. */
import type { AppendRequest } from '../../consensus/types.js';
import { list, safeInteger, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';
import { logEntry } from './log-entry.js';

export const appendRequestCodec = defineMessage<AppendRequest>(FRAME_KINDS.appendRequest, 'append-request', {
  from: text,
  to: text,
  term: safeInteger,
  previousIndex: safeInteger,
  previousTerm: safeInteger,
  entries: list(logEntry),
  commitIndex: safeInteger,
  round: safeInteger,
});
