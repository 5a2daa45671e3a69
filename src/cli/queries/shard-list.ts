/** `shard list`. */
import type { ShardRecord } from '../../registry/types.js';
import type { ShardsBody } from '../api-types.js';
import { CLIENT_OPTIONS, createClient } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { type Column, formatTable, OUTPUT_OPTION, outputFormat, writeOutput } from '../output.js';
import { runWatched, WATCH_OPTIONS } from '../watch.js';

const COLUMNS: readonly Column<ShardRecord>[] = [
  { title: 'SHARD', value: ({ shard }) => shard },
  { title: 'OWNER', value: ({ owner }) => owner },
  { title: 'EPOCH', value: ({ epoch }) => epoch },
  { title: 'MOVING TO', value: ({ movingTo }) => movingTo },
  { title: 'REVISION', value: ({ revision }) => revision },
];

async function list(invocation: Invocation): Promise<ExitCode> {
  const { options, io, positionals } = invocation;
  const format = outputFormat(options);
  const [service] = positionals;
  const owner = options.text('owner');
  const query = new URLSearchParams({
    ...(service === undefined ? {} : { service }),
    ...(owner === undefined ? {} : { owner }),
  });
  const client = createClient(options, io);
  return runWatched(invocation, format, async () => {
    const body = await client.read<ShardsBody>(`/v1/shards?${query}`);
    const shards = body.shards.filter((record) => !options.on('unowned') || record.owner === null);
    writeOutput(io, format, { ...body, shards }, () => formatTable(COLUMNS, shards));
    return EXIT_CODES.ok;
  });
}

export const shardList: CommandSpec = {
  name: 'shard list',
  arguments: '[service]',
  summary: 'List shards with their owners; shards that never had one are left out',
  options: [
    { name: 'owner', value: 'upstream', summary: 'Only those that this upstream owns' },
    { name: 'unowned', summary: 'Only those without an owner' },
    OUTPUT_OPTION,
    ...WATCH_OPTIONS,
    ...CLIENT_OPTIONS,
  ],
  examples: ['shard list menu', 'shard list menu --owner menu-7'],
  run: list,
};
