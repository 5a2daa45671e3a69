/**
 * A router tells the leader what load it saw. What it saw of upstreams without keys travels as rows of shards that no service has: a member
 * that doesn't know of it passes them over, and an older router sends none.
 */
import type { LoadReport } from '../../control/messages.js';
import { real } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage, type MessageCodec } from '../message-codec.js';
import { fleetOf, isFleetRow, rowsOf } from './fleet-rows.js';
import { shardWorkField } from './shard-work-field.js';

const rowsCodec = defineMessage<Omit<LoadReport, 'fleet'>>(FRAME_KINDS.loadReport, 'load-report', {
  intervalMillis: real,
  shards: shardWorkField,
});

export const loadReportCodec: MessageCodec<LoadReport> = {
  kind: rowsCodec.kind,
  type: rowsCodec.type,
  encode: ({ fleet, ...report }) => {
    const rows = fleet === undefined ? [] : rowsOf(fleet);
    return rowsCodec.encode({ ...report, shards: [...report.shards, ...rows] });
  },
  decode: (payload) => {
    const { shards, ...report } = rowsCodec.decode(payload);
    const fleet = fleetOf(shards.filter(isFleetRow));
    const message = { ...report, shards: shards.filter((row) => !isFleetRow(row)) };
    return fleet === undefined ? message : { ...message, fleet };
  },
};
