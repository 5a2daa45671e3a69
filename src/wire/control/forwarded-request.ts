/** Requests that a control member passes to the leader, and the leader's responses. */
import type { ForwardedRequest, ForwardedResponse } from '../../control/forwarded-request.js';
import { json, safeInteger } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const forwardedRequestCodec = defineMessage<ForwardedRequest>(
  FRAME_KINDS.forwardedRequest,
  'forwarded-request',
  { number: safeInteger, request: json() },
);

export const forwardedResponseCodec = defineMessage<ForwardedResponse>(
  FRAME_KINDS.forwardedResponse,
  'forwarded-response',
  { number: safeInteger, response: json() },
);
