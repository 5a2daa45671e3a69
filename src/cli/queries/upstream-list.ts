/** `upstream list`. */
import type { UpstreamRecord } from '../../registry/types.js';
import type { StatusBody, UpstreamsBody } from '../api-types.js';
import { CLIENT_OPTIONS, createClient } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import {
  type Column,
  formatMillis,
  formatTable,
  OUTPUT_OPTION,
  outputFormat,
  writeOutput,
} from '../output.js';
import { runWatched, WATCH_OPTIONS } from '../watch.js';

type Health = StatusBody['upstreams'][number];

/** A declared upstream with its state as reported by the leader. */
interface UpstreamRow {
  readonly record: UpstreamRecord;
  /** `undefined` if the leader has no state of it yet, or its service isn't keyed. */
  readonly health: Health | undefined;
}

const COLUMNS: readonly Column<UpstreamRow>[] = [
  { title: 'UPSTREAM', value: ({ record }) => record.definition.id },
  { title: 'SERVICE', value: ({ record }) => record.definition.service },
  { title: 'ZONE', value: ({ record }) => record.definition.zone },
  { title: 'ADDRESS', value: ({ record }) => record.definition.address },
  { title: 'MAY HOLD', value: ({ record }) => record.definition.mayHold.join(',') || 'all' },
  { title: 'STATE', value: stateOf },
  { title: 'SHARDS', value: ({ health }) => health?.shards ?? null },
  { title: 'HEARD', value: ({ health }) => lastContactOf(health) },
  { title: 'REVISION', value: ({ record }) => record.revision },
];

/** Returns the session state, marked if draining; `null` for services that aren't keyed, as these have no sessions. */
function stateOf({ record, health }: UpstreamRow): string | null {
  const session = health?.state ?? null;
  if (!record.definition.leaving) {
    return session;
  }
  return session === null ? 'leaving' : `leaving (${session})`;
}

function lastContactOf(health: Health | undefined): string | null {
  const silentMillis = health?.silentMillis ?? null;
  return silentMillis === null ? null : `${formatMillis(silentMillis)} ago`;
}

async function list(invocation: Invocation): Promise<ExitCode> {
  const { options, io } = invocation;
  const format = outputFormat(options);
  const service = options.text('service');
  const client = createClient(options, io);
  return runWatched(invocation, format, async () => {
    const { revision, upstreams } = await client.read<UpstreamsBody>('/v1/upstreams');
    const status = await client.readLeaderStatus();
    const healths = new Map(status.upstreams.map((health) => [health.upstream, health]));
    const rows = upstreams
      .filter(({ definition }) => service === undefined || definition.service === service)
      .map((record) => ({ record, health: healths.get(record.definition.id) }));
    writeOutput(io, format, { revision, upstreams: rows }, () => formatTable(COLUMNS, rows));
    return EXIT_CODES.ok;
  });
}

export const upstreamList: CommandSpec = {
  name: 'upstream list',
  summary: 'List upstreams with the state of their sessions',
  options: [
    { name: 'service', value: 'name', summary: 'Only those of this service' },
    OUTPUT_OPTION,
    ...WATCH_OPTIONS,
    ...CLIENT_OPTIONS,
  ],
  examples: ['upstream list --service menu', 'upstream list --watch'],
  run: list,
};
