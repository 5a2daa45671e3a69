/** Response with the index of a linearizable read. */
import type { ReadIndexResponse } from '../../consensus/types.js';
import { json, safeInteger, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const readIndexResponseCodec = defineMessage<ReadIndexResponse>(
  FRAME_KINDS.readIndexResponse,
  'read-index-response',
  {
    from: text,
    to: text,
    term: safeInteger,
    readId: safeInteger,
    index: json<number | null>(),
  },
);
