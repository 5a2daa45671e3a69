/** Request of a replica to join the cluster. */
import type { JoinRequest } from '../../control/messages.js';
import { text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const joinRequestCodec = defineMessage<JoinRequest>(FRAME_KINDS.joinRequest, 'join-request', {
  replica: text,
  address: text,
});
