/** Whether a claim was granted. */
import type { ClaimResponse } from '../../control/messages.js';
import type { ClaimResult } from '../../ledger/types.js';
import type { Address } from '../../model/identifiers.js';
import { json, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const claimResponseCodec = defineMessage<ClaimResponse>(FRAME_KINDS.claimResponse, 'claim-response', {
  claimant: text,
  result: json<ClaimResult | null>(),
  leader: json<Address | null>(),
});
