/** Configuration changes sent to a router before the response to its request. */
import type { SyncUpdate } from '../../control/messages.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';
import { routingDeltaOnlyField } from './routing-fields.js';

export const syncNewsCodec = defineMessage<SyncUpdate>(FRAME_KINDS.syncNews, 'sync-news', {
  delta: routingDeltaOnlyField,
});
