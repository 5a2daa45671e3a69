/** `upstream add`. */
import type { UpstreamDefinition } from '../../model/service.js';
import { upstreamSchema } from '../../settings/definition-schemas.js';
import { upstreamDocument } from '../../settings/definition-writer.js';
import { describeIssue, formatPath, valueAt } from '../../settings/yaml-source.js';
import { UsageError } from '../cli-error.js';
import { CHANGE_OPTIONS, REVISION_OPTION } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import type { ControlClient } from '../control-client.js';
import { readUpstream, upstreamPath } from '../current.js';
import { DRY_RUN_OPTION, type Preview } from '../preview.js';
import { sendChange } from './simple-change.js';

function definitionOf(invocation: Invocation): UpstreamDefinition {
  const { options, positionals } = invocation;
  const fields = {
    id: positionals[0],
    service: options.required('service'),
    address: options.required('address'),
    zone: options.required('zone'),
    mayHold: options.list('may-hold'),
  };
  const result = upstreamSchema.safeParse(fields);
  if (result.success) {
    return result.data;
  }
  const [issue] = result.error.issues;
  if (issue === undefined) {
    throw new UsageError('invalid upstream');
  }
  throw new UsageError(`${formatPath(issue.path)}: ${describeIssue(issue, valueAt(fields, issue.path))}`);
}

async function previewAdd(client: ControlClient, definition: UpstreamDefinition): Promise<Preview> {
  const record = await readUpstream(client, definition.id);
  const before = record === null ? null : upstreamDocument(record.definition);
  return { before, after: upstreamDocument(definition), revision: record?.revision ?? null };
}

export const upstreamAdd: CommandSpec = {
  name: 'upstream add',
  arguments: '<id>',
  summary: 'Declare an upstream server',
  options: [
    { name: 'service', value: 'name', summary: 'Service it belongs to' },
    { name: 'address', value: 'ip:port', summary: 'Where it listens' },
    { name: 'zone', value: 'name', summary: 'Its zone' },
    { name: 'may-hold', value: 'keyspaces', summary: 'Keyspaces whose shards it may hold; default: all' },
    { name: 'replace', summary: 'Change the declaration if the upstream exists already' },
    ...CHANGE_OPTIONS,
    REVISION_OPTION,
    DRY_RUN_OPTION,
  ],
  examples: [
    'upstream add menu-7 --service menu --address 10.0.2.7:8080 --zone zone-b',
    'upstream add menu-7 --service menu --address 10.0.2.9:8080 --zone zone-b --replace --dry-run',
  ],
  run: async (invocation) => {
    const { options } = invocation;
    const definition = definitionOf(invocation);
    const expected = options.count('revision') ?? (options.on('replace') ? null : 0);
    return sendChange(invocation, {
      what: `upstream/${definition.id}`,
      request: { method: 'PUT', path: upstreamPath(definition.id), body: definition, expected },
      preview: (client) => previewAdd(client, definition),
    });
  },
};
