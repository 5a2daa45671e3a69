/** Request of a router to record the outcome of a claimed request. */
import type { SettleRequest } from '../../control/messages.js';
import type { StoredAnswer } from '../../ledger/types.js';
import { choice, json, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const settleRequestCodec = defineMessage<SettleRequest>(FRAME_KINDS.settleRequest, 'settle-request', {
  claimant: text,
  service: text,
  key: text,
  outcome: choice(['ran', 'not-run', 'unknown'] as const),
  answer: json<StoredAnswer | null>(),
});
