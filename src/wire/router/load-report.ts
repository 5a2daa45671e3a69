/**
 * Load report of a router to the leader. Data of upstreams without keys is encoded as rows of nonexistent shards, for
 * compatibility: older members ignore such rows, and older routers send none.
 */
import type { LoadReport } from '../../control/messages.js';
import { real } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage, type MessageCodec } from '../message-codec.js';
import { fromFleetRows, isFleetRow, toFleetRows } from './fleet-rows.js';
import { shardWorkField } from './shard-work-field.js';

const rowsCodec = defineMessage<Omit<LoadReport, 'fleet'>>(FRAME_KINDS.loadReport, 'load-report', {
  intervalMillis: real,
  shards: shardWorkField,
});

export const loadReportCodec: MessageCodec<LoadReport> = {
  kind: rowsCodec.kind,
  type: rowsCodec.type,
  encode: ({ fleet, ...report }) => {
    const rows = fleet === undefined ? [] : toFleetRows(fleet);
    return rowsCodec.encode({ ...report, shards: [...report.shards, ...rows] });
  },
  decode: (payload) => {
    const { shards, ...report } = rowsCodec.decode(payload);
    const fleet = fromFleetRows(shards.filter(isFleetRow));
    const message = { ...report, shards: shards.filter((row) => !isFleetRow(row)) };
    return fleet === undefined ? message : { ...message, fleet };
  },
};
