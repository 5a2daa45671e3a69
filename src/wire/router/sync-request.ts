/** A router refreshes its configuration lease. */
import type { LoadReport, SyncRequest } from '../../control/messages.js';
import { json, real, safeInteger, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const syncRequestCodec = defineMessage<SyncRequest>(FRAME_KINDS.syncRequest, 'sync-request', {
  router: text,
  incarnation: text,
  zone: text,
  stamp: real,
  have: safeInteger,
  report: json<LoadReport | null>(),
});
