/** Progress of a follower in receiving a snapshot. */
import type { SnapshotResponse } from '../../consensus/types.js';
import { flag, safeInteger, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const snapshotResponseCodec = defineMessage<SnapshotResponse>(
  FRAME_KINDS.snapshotResponse,
  'snapshot-response',
  {
    from: text,
    to: text,
    term: safeInteger,
    lastIndex: safeInteger,
    nextOffset: safeInteger,
    installed: flag,
    round: safeInteger,
  },
);
