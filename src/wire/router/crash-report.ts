/** Report of a router to the leader: requests during which upstreams crashed. */
import type { CrashReport } from '../../control/messages.js';
import type { ClearedSuspect, UpstreamCrash } from '../../model/crash-suspect.js';
import { json } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const crashReportCodec = defineMessage<CrashReport>(FRAME_KINDS.crashReport, 'crash-report', {
  crashes: json<readonly UpstreamCrash[]>(),
  cleared: json<readonly ClearedSuspect[]>(),
});
