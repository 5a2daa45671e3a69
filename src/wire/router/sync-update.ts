/** Configuration changes sent to a router before the response to its request. */
import type { SyncUpdate } from '../../control/messages.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';
import { requiredRoutingDeltaField } from './routing-fields.js';

export const syncUpdateCodec = defineMessage<SyncUpdate>(FRAME_KINDS.syncNews, 'sync-news', {
  delta: requiredRoutingDeltaField,
});
