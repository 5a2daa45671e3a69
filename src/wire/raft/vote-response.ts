/** Response to a vote request. */
import type { VoteResponse } from '../../consensus/types.js';
import { flag, safeInteger, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const voteResponseCodec = defineMessage<VoteResponse>(FRAME_KINDS.voteResponse, 'vote-response', {
  from: text,
  to: text,
  term: safeInteger,
  preVote: flag,
  granted: flag,
});
