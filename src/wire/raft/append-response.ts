/** Response of a follower with the index up to which its log matches. */
import type { AppendResponse } from '../../consensus/types.js';
import { flag, safeInteger, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const appendResponseCodec = defineMessage<AppendResponse>(
  FRAME_KINDS.appendResponse,
  'append-response',
  {
    from: text,
    to: text,
    term: safeInteger,
    success: flag,
    matchIndex: safeInteger,
    round: safeInteger,
  },
);
