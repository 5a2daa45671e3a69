/** `service get` and `service list`. */
import { stringify } from 'yaml';
import type { ServiceRecord } from '../../registry/types.js';
import { formatDuration, serviceDocument } from '../../settings/definition-writer.js';
import type { ServicesBody } from '../api-types.js';
import { CLIENT_OPTIONS, createClient } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { type Column, formatTable, OUTPUT_OPTION, outputFormat, writeOutput } from '../output.js';
import { runWatched, WATCH_OPTIONS } from '../watch.js';

const COLUMNS: readonly Column<ServiceRecord>[] = [
  { title: 'SERVICE', value: ({ definition }) => definition.name },
  { title: 'KEYED', value: ({ definition }) => (definition.keyed ? 'yes' : 'no') },
  { title: 'REPEATABLE', value: ({ definition }) => (definition.repeatable ? 'yes' : 'no') },
  { title: 'PRIORITY', value: ({ definition }) => definition.priority },
  { title: 'DEADLINE', value: ({ definition }) => formatDuration(definition.deadlineMillis) },
  { title: 'SHARDS', value: ({ definition }) => countShards(definition.keyspaces) },
  { title: 'RULES', value: ({ definition }) => definition.policy.length },
  { title: 'REVISION', value: ({ revision }) => revision },
];

function countShards(keyspaces: readonly { readonly shards: number }[]): number {
  return keyspaces.reduce((sum, keyspace) => sum + keyspace.shards, 0);
}

export const serviceList: CommandSpec = {
  name: 'service list',
  summary: 'List the services in force',
  options: [OUTPUT_OPTION, ...WATCH_OPTIONS, ...CLIENT_OPTIONS],
  examples: ['service list', 'service list --output json'],
  run: async (invocation) => {
    const { options, io } = invocation;
    const format = outputFormat(options);
    const client = createClient(options, io);
    return runWatched(invocation, format, async () => {
      const body = await client.read<ServicesBody>('/v1/services');
      writeOutput(io, format, body, () => formatTable(COLUMNS, body.services));
      return EXIT_CODES.ok;
    });
  },
};

async function getService(invocation: Invocation): Promise<ExitCode> {
  const { options, io, positionals } = invocation;
  const [name = ''] = positionals;
  const format = outputFormat(options);
  const client = createClient(options, io);
  const record = await client.read<ServiceRecord>(`/v1/services/${encodeURIComponent(name)}`);
  const document = serviceDocument(record.definition);
  if (format === 'json') {
    writeOutput(io, format, record, () => '');
  } else {
    io.write(`# revision ${record.revision}\n${stringify(document)}`);
  }
  return EXIT_CODES.ok;
}

export const serviceGet: CommandSpec = {
  name: 'service get',
  arguments: '<name>',
  summary: 'Show a service as the YAML file that service apply takes',
  options: [OUTPUT_OPTION, ...CLIENT_OPTIONS],
  examples: ['service get menu > menu.yaml', 'service get menu --output json'],
  run: getService,
};
