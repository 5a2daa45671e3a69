/**
 * Load report of a router to the leader. Data of upstreams without keys, and of the router as a relay, is encoded as rows of nonexistent shards, for
 * compatibility: older members ignore such rows, and older routers send none.
 */
import type { LoadReport } from '../../control/messages.js';
import { real } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage, type MessageCodec } from '../message-codec.js';
import { fromFleetRows, isFleetRow, toFleetRows } from './fleet-rows.js';
import { fromRelayRow, toRelayRow } from './relay-row.js';
import { shardWorkField } from './shard-work-field.js';

const rowsCodec = defineMessage<Omit<LoadReport, 'fleet' | 'relay'>>(FRAME_KINDS.loadReport, 'load-report', {
  intervalMillis: real,
  shards: shardWorkField,
});

export const loadReportCodec: MessageCodec<LoadReport> = {
  kind: rowsCodec.kind,
  type: rowsCodec.type,
  encode: ({ fleet, relay, ...report }) => {
    const fleetRows = fleet === undefined ? [] : toFleetRows(fleet);
    const relayRows = relay === undefined ? [] : [toRelayRow(relay)];
    return rowsCodec.encode({ ...report, shards: [...report.shards, ...fleetRows, ...relayRows] });
  },
  decode: (payload) => {
    const { shards, ...report } = rowsCodec.decode(payload);
    const extraRows = shards.filter(isFleetRow);
    const fleet = fromFleetRows(extraRows);
    const relay = fromRelayRow(extraRows);
    return {
      ...report,
      shards: shards.filter((row) => !isFleetRow(row)),
      ...(fleet !== undefined && { fleet }),
      ...(relay !== undefined && { relay }),
    };
  },
};
