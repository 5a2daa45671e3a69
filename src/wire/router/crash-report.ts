/** A router tells the leader of requests under which upstreams ended. */
import type { CrashReport } from '../../control/messages.js';
import type { ClearedSuspect, UpstreamCrash } from '../../model/crash-suspect.js';
import { json } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const crashReportCodec = defineMessage<CrashReport>(FRAME_KINDS.crashReport, 'crash-report', {
  crashes: json<readonly UpstreamCrash[]>(),
  cleared: json<readonly ClearedSuspect[]>(),
});
