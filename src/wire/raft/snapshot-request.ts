/** One chunk of a snapshot. */
import type { Membership, SnapshotRequest } from '../../consensus/types.js';
import { bytes, json, safeInteger, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const snapshotRequestCodec = defineMessage<SnapshotRequest>(
  FRAME_KINDS.snapshotRequest,
  'snapshot-request',
  {
    from: text,
    to: text,
    term: safeInteger,
    lastIndex: safeInteger,
    lastTerm: safeInteger,
    membership: json<Membership>(),
    offset: safeInteger,
    totalBytes: safeInteger,
    chunk: bytes,
    round: safeInteger,
  },
);
