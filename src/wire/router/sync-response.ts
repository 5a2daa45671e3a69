/** Configuration for a router. */
import type { SyncResponse } from '../../control/messages.js';
import type { Address } from '../../model/identifiers.js';
import type { RoutingDelta, RoutingSnapshot } from '../../registry/types.js';
import { flag, json, real, safeInteger } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const syncResponseCodec = defineMessage<SyncResponse>(FRAME_KINDS.syncResponse, 'sync-response', {
  stamp: real,
  confirmed: flag,
  revision: safeInteger,
  snapshot: json<RoutingSnapshot | null>(),
  delta: json<RoutingDelta | null>(),
  leader: json<Address | null>(),
});
