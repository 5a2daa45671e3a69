/** Request of a router to refresh its configuration lease. */
import type { SyncRequest } from '../../control/messages.js';
import { real, safeInteger, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const syncRequestCodec = defineMessage<SyncRequest>(FRAME_KINDS.syncRequest, 'sync-request', {
  router: text,
  incarnation: text,
  zone: text,
  stamp: real,
  have: safeInteger,
});
