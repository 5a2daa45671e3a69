/** Encodes observations of upstreams without keys as rows of a load report. */
import type { LoadReport } from '../../control/messages.js';
import type { DemandSample, FleetReport, FleetViewVersion, UpstreamSample } from '../../model/fleet-view.js';
import { ownEntry } from '../../text/own-entry.js';

type Row = LoadReport['shards'][number];

/** Prefix of fleet rows; no service name starts with it. */
const ROW_PREFIX = '.';
const ROW_NAMES = { zone: '.zone', have: '.have', upstream: '.upstream', demand: '.demand' } as const;
/** Doesn't occur in names of upstreams, services and routes. */
const SEPARATOR = ' ';

/** A report while its rows are decoded. */
interface PartialFleetReport {
  zone: { readonly zone: string; readonly number: number } | null;
  have: FleetViewVersion | null;
  readonly upstreams: UpstreamSample[];
  readonly demand: DemandSample[];
}

const ROW_DECODERS: Readonly<Record<string, (fleet: PartialFleetReport, row: DecodedRow) => void>> = {
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

interface DecodedRow {
  readonly name: string;
  readonly number: number;
  readonly workMillis: number;
  readonly requests: number;
}

export function isFleetRow({ shard }: Row): boolean {
  return shard.startsWith(ROW_PREFIX);
}

export function toFleetRows({ zone, number, have, upstreams, demand }: FleetReport): Row[] {
  const noWork = { workMillis: 0, requests: 0 };
  return [
    { shard: `${ROW_NAMES.zone}/${zone}/${number}`, ...noWork },
    { shard: `${ROW_NAMES.have}/${have.term}/${have.number}`, ...noWork },
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

/** Decodes the fleet report; returns `undefined` if the rows have none or lack its zone or version. */
export function fromFleetRows(rows: readonly Row[]): FleetReport | undefined {
  const fleet: PartialFleetReport = { zone: null, have: null, upstreams: [], demand: [] };
  for (const row of rows) {
    const parts = row.shard.split('/');
    const [rowName = ''] = parts;
    const { workMillis, requests } = row;
    const name = parts.slice(1, -1).join('/');
    // Unknown rows come from a newer version and are ignored.
    const decode = ownEntry(ROW_DECODERS, rowName);
    decode?.(fleet, { name, number: Number(parts.at(-1)), workMillis, requests });
  }
  const { zone, have, upstreams, demand } = fleet;
  return zone === null || have === null ? undefined : { ...zone, have, upstreams, demand };
}
