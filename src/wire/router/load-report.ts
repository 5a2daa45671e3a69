/** A router tells the leader what load it saw. */
import type { LoadReport } from '../../control/messages.js';
import { real } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';
import { shardWorkField } from './shard-work-field.js';

export const loadReportCodec = defineMessage<LoadReport>(FRAME_KINDS.loadReport, 'load-report', {
  intervalMillis: real,
  shards: shardWorkField,
});
