/** Response to a sync request: configuration for a router. */
import type { SyncResponse } from '../../control/messages.js';
import type { Address } from '../../model/identifiers.js';
import type { RouterTimeSlots } from '../../model/router-time-slots.js';
import { flag, json, real, safeInteger } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';
import { routingDeltaField, routingSnapshotField } from './routing-fields.js';

export const syncResponseCodec = defineMessage<SyncResponse>(FRAME_KINDS.syncResponse, 'sync-response', {
  stamp: real,
  confirmed: flag,
  revision: safeInteger,
  snapshot: routingSnapshotField,
  delta: routingDeltaField,
  leader: json<Address | null>(),
  members: json<readonly Address[]>(),
  turn: json<RouterTimeSlots | null>(),
});
