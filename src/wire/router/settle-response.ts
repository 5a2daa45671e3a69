/** Whether the outcome of a claim was recorded. */
import type { SettleResponse } from '../../control/messages.js';
import type { Address } from '../../model/identifiers.js';
import { flag, json, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const settleResponseCodec = defineMessage<SettleResponse>(
  FRAME_KINDS.settleResponse,
  'settle-response',
  {
    claimant: text,
    settled: flag,
    leader: json<Address | null>(),
  },
);
