/** Configuration changes sent to a router before the response to its request. */
import type { SyncNews } from '../../control/messages.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';
import { routingDeltaOnlyField } from './routing-fields.js';

export const syncNewsCodec = defineMessage<SyncNews>(FRAME_KINDS.syncNews, 'sync-news', {
  delta: routingDeltaOnlyField,
});
