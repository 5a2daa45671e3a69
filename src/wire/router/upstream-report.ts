/** Report of a router to the leader: notices of upstreams, and requests for permits. */
import type { UpstreamReport } from '../../control/messages.js';
import type { ReportedUpstream } from '../../model/upstream-notice.js';
import { json, real } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const upstreamReportCodec = defineMessage<UpstreamReport>(
  FRAME_KINDS.upstreamReport,
  'upstream-report',
  { stamp: real, upstreams: json<readonly ReportedUpstream[]>() },
);
