/** Vote request of a candidate. */
import type { VoteRequest } from '../../consensus/types.js';
import { flag, safeInteger, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const voteRequestCodec = defineMessage<VoteRequest>(FRAME_KINDS.voteRequest, 'vote-request', {
  from: text,
  to: text,
  term: safeInteger,
  preVote: flag,
  lastLogIndex: safeInteger,
  lastLogTerm: safeInteger,
  transfer: flag,
});
