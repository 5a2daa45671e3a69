/** Request of a follower for the index of a linearizable read. */
import type { ReadIndexRequest } from '../../consensus/types.js';
import { flag, safeInteger, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const readIndexRequestCodec = defineMessage<ReadIndexRequest>(
  FRAME_KINDS.readIndexRequest,
  'read-index-request',
  {
    from: text,
    to: text,
    term: safeInteger,
    readId: safeInteger,
    mayWait: flag,
  },
);
