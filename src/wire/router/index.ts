/** Codecs of the messages between routers and control members. */
import type { ControlToRouter, RouterToControl } from '../../control/messages.js';
import { MessageCodecSet } from '../message-codec.js';
import { changeNoticeCodec } from './change-notice.js';
import { claimRequestCodec } from './claim-request.js';
import { claimResponseCodec } from './claim-response.js';
import { crashReportCodec } from './crash-report.js';
import { fleetNewsCodec } from './fleet-news.js';
import { loadReportCodec } from './load-report.js';
import { settleRequestCodec } from './settle-request.js';
import { settleResponseCodec } from './settle-response.js';
import { syncNewsCodec } from './sync-news.js';
import { syncRequestCodec } from './sync-request.js';
import { syncResponseCodec } from './sync-response.js';
import { upstreamPermitsCodec } from './upstream-permits.js';
import { upstreamReportCodec } from './upstream-report.js';

export const routerToControlCodecs = new MessageCodecSet<RouterToControl>([
  syncRequestCodec,
  claimRequestCodec,
  settleRequestCodec,
  loadReportCodec,
  crashReportCodec,
  upstreamReportCodec,
]);

export const controlToRouterCodecs = new MessageCodecSet<ControlToRouter>([
  syncResponseCodec,
  syncNewsCodec,
  changeNoticeCodec,
  claimResponseCodec,
  settleResponseCodec,
  upstreamPermitsCodec,
  fleetNewsCodec,
]);
