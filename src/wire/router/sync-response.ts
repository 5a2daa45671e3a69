/** Configuration for a router. */
import type { SyncResponse } from '../../control/messages.js';
import type { Address } from '../../model/identifiers.js';
import type { RoutingDelta, RoutingSnapshot, ServiceRecord, UpstreamRecord } from '../../registry/types.js';
import { flag, group, json, optional, real, safeInteger } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';
import { shardTable } from './shard-table.js';

const snapshot = group<RoutingSnapshot>({
  revision: safeInteger,
  services: json<readonly ServiceRecord[]>(),
  upstreams: json<readonly UpstreamRecord[]>(),
  shards: shardTable,
});

export const syncResponseCodec = defineMessage<SyncResponse>(FRAME_KINDS.syncResponse, 'sync-response', {
  stamp: real,
  confirmed: flag,
  revision: safeInteger,
  snapshot: optional(snapshot),
  delta: json<RoutingDelta | null>(),
  leader: json<Address | null>(),
});
