/** Encodes a router's report that it can carry connections as a row of a load report. */
import type { LoadReport } from '../../control/messages.js';
import type { RelayReport } from '../../model/relay.js';

type Row = LoadReport['shards'][number];

const ROW_NAME = '.relay';
/** Doesn't occur in names of routers and zones, nor in addresses. */
const SEPARATOR = ' ';

export function toRelayRow({ peer, lostPaths }: RelayReport): Row {
  const { router, zone, address } = peer;
  return {
    shard: `${ROW_NAME}/${[router, zone, address].join(SEPARATOR)}/${lostPaths}`,
    workMillis: 0,
    requests: 0,
  };
}

/** Decodes the report; returns `undefined` if the rows have none. */
export function fromRelayRow(rows: readonly Row[]): RelayReport | undefined {
  const row = rows.find(({ shard }) => shard.startsWith(`${ROW_NAME}/`));
  if (row === undefined) {
    return undefined;
  }
  const parts = row.shard.split('/');
  const [router = '', zone = '', address = ''] = parts.slice(1, -1).join('/').split(SEPARATOR);
  return { peer: { router, zone, address }, lostPaths: Number(parts.at(-1)) };
}
