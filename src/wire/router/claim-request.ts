/** Request of a router to claim an idempotency key. */
import type { ClaimRequest } from '../../control/messages.js';
import { safeInteger, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const claimRequestCodec = defineMessage<ClaimRequest>(FRAME_KINDS.claimRequest, 'claim-request', {
  claimant: text,
  service: text,
  key: text,
  fingerprint: text,
  issuedAt: safeInteger,
});
