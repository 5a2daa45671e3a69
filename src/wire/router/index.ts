/** Codecs of the messages between routers and control members. */
import type { ControlToRouter, RouterToControl } from '../../control/messages.js';
import { MessageCodecSet } from '../message-codec.js';
import { changeNoticeCodec } from './change-notice.js';
import { claimRequestCodec } from './claim-request.js';
import { claimResponseCodec } from './claim-response.js';
import { crashReportCodec } from './crash-report.js';
import { fleetUpdateCodec } from './fleet-update.js';
import { loadReportCodec } from './load-report.js';
import { relayPeersCodec } from './relay-peers.js';
import { settleRequestCodec } from './settle-request.js';
import { settleResponseCodec } from './settle-response.js';
import { syncRequestCodec } from './sync-request.js';
import { syncResponseCodec } from './sync-response.js';
import { syncUpdateCodec } from './sync-update.js';
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
  syncUpdateCodec,
  changeNoticeCodec,
  claimResponseCodec,
  settleResponseCodec,
  upstreamPermitsCodec,
  fleetUpdateCodec,
  relayPeersCodec,
]);
