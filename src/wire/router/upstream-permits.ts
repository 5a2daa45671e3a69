/** The leader's response to an upstream report: permits for limited upstreams. */
import type { UpstreamPermits } from '../../control/messages.js';
import type { Address } from '../../model/identifiers.js';
import type { IssuedPermits } from '../../model/upstream-notice.js';
import { json, real } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const upstreamPermitsCodec = defineMessage<UpstreamPermits>(
  FRAME_KINDS.upstreamPermits,
  'upstream-permits',
  {
    stamp: real,
    waitedMillis: real,
    leader: json<Address | null>(),
    upstreams: json<readonly IssuedPermits[]>(),
  },
);
