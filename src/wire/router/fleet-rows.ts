/** What a router saw of upstreams without keys, as rows of a load report. */
import type { LoadReport } from '../../control/messages.js';
import type { DemandSample, FleetReport, FleetVersion, UpstreamSample } from '../../model/fleet-view.js';

type Row = LoadReport['shards'][number];

/** No service has such a name. */
const MARK = '.';
const ROW_NAMES = { zone: '.zone', have: '.have', upstream: '.upstream', demand: '.demand' } as const;
/** Names of upstreams, services and routes have no such character. */
const SEPARATOR = ' ';

/** Fields of a report while its rows are read. */
interface ReadFleet {
  zone: { readonly zone: string; readonly number: number } | null;
  have: FleetVersion | null;
  readonly upstreams: UpstreamSample[];
  readonly demand: DemandSample[];
}

const READERS: Readonly<Record<string, (fleet: ReadFleet, row: ReadRow) => void>> = {
  [ROW_NAMES.zone]: (fleet, { name, number }) => {
    fleet.zone = { zone: name, number };
  },
  [ROW_NAMES.have]: (fleet, { name, number }) => {
    fleet.have = { term: Number(name), number };
  },
  [ROW_NAMES.upstream]: (fleet, { name, number, workMillis, requests }) => {
    const [upstream = '', kind = ''] = name.split(SEPARATOR);
    fleet.upstreams.push({ upstream, kind, requests, workMillis, isOut: number === 1 });
  },
  [ROW_NAMES.demand]: (fleet, { name, requests }) => {
    const [service = '', kind = ''] = name.split(SEPARATOR);
    fleet.demand.push({ service, kind, requests });
  },
};

interface ReadRow {
  readonly name: string;
  readonly number: number;
  readonly workMillis: number;
  readonly requests: number;
}

export function isFleetRow({ shard }: Row): boolean {
  return shard.startsWith(MARK);
}

export function rowsOf({ zone, number, have, upstreams, demand }: FleetReport): Row[] {
  const plain = { workMillis: 0, requests: 0 };
  return [
    { shard: `${ROW_NAMES.zone}/${zone}/${number}`, ...plain },
    { shard: `${ROW_NAMES.have}/${have.term}/${have.number}`, ...plain },
    ...upstreams.map(({ upstream, kind, requests, workMillis, isOut }) => ({
      shard: `${ROW_NAMES.upstream}/${upstream}${SEPARATOR}${kind}/${isOut ? 1 : 0}`,
      workMillis,
      requests,
    })),
    ...demand.map(({ service, kind, requests }) => ({
      shard: `${ROW_NAMES.demand}/${service}${SEPARATOR}${kind}/0`,
      workMillis: 0,
      requests,
    })),
  ];
}

/** `undefined`: there is none, or not enough of it to tell whose it is. */
export function fleetOf(rows: readonly Row[]): FleetReport | undefined {
  const fleet: ReadFleet = { zone: null, have: null, upstreams: [], demand: [] };
  for (const row of rows) {
    const parts = row.shard.split('/');
    const [mark = ''] = parts;
    const { workMillis, requests } = row;
    const name = parts.slice(1, -1).join('/');
    // Rows of a later version are passed over.
    READERS[mark]?.(fleet, { name, number: Number(parts.at(-1)), workMillis, requests });
  }
  const { zone, have, upstreams, demand } = fleet;
  return zone === null || have === null ? undefined : { ...zone, have, upstreams, demand };
}
