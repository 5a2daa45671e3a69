/** `upstream add`, `upstream drain` and `upstream remove`. */
import type { UpstreamDefinition } from '../../model/service.js';
import { upstreamSchema } from '../../settings/definition-schemas.js';
import { describeIssue, formatPath, valueAt } from '../../settings/yaml-source.js';
import type { StatusBody } from '../api-types.js';
import { CliError, UsageError } from '../cli-error.js';
import { CHANGE_OPTIONS, createClient, REVISION_OPTION } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { sendChange } from './simple-change.js';

const DRAIN_POLL_MILLIS = 500;
const DEFAULT_DRAIN_MILLIS = 300_000;

function pathOf(id: string): string {
  return `/v1/upstreams/${encodeURIComponent(id)}`;
}

function readUpstream(invocation: Invocation): UpstreamDefinition {
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
    throw new UsageError('wrong upstream');
  }
  throw new UsageError(`${formatPath(issue.path)}: ${describeIssue(issue, valueAt(fields, issue.path))}`);
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
  ],
  examples: ['upstream add menu-7 --service menu --address 10.0.2.7:8080 --zone zone-b'],
  run: async (invocation) => {
    const definition = readUpstream(invocation);
    const expected = invocation.options.count('revision') ?? (invocation.options.on('replace') ? null : 0);
    const path = pathOf(definition.id);
    return sendChange(invocation, `upstream/${definition.id}`, {
      method: 'PUT',
      path,
      body: definition,
      expected,
    });
  },
};

/** Waits until an upstream owns no shard and works on nothing for one. */
async function waitUntilEmpty(invocation: Invocation, id: string): Promise<ExitCode> {
  const { options, io } = invocation;
  const client = createClient(options, io);
  const until = performance.now() + (options.duration('drain-timeout') ?? DEFAULT_DRAIN_MILLIS);
  let last = '';
  while (!io.stopSignal.aborted) {
    const status = await client.read<StatusBody>('/v1/status');
    const upstream = status.upstreams.find((candidate) => candidate.upstream === id);
    const shards = upstream?.shards ?? 0;
    const draining = upstream?.draining ?? 0;
    if (shards === 0 && draining === 0) {
      io.write(`upstream/${id}: owns nothing\n`);
      return EXIT_CODES.ok;
    }
    const progress = `upstream/${id}: owns ${shards} shards, ${draining} of them draining\n`;
    if (progress !== last) {
      io.write(progress);
      last = progress;
    }
    if (performance.now() >= until) {
      break;
    }
    await io.sleep(DRAIN_POLL_MILLIS);
  }
  throw new CliError(
    EXIT_CODES.failed,
    'STILL_DRAINING',
    `upstream/${id} still owns shards; the drain goes on`,
  );
}

async function drain(invocation: Invocation): Promise<ExitCode> {
  const [id = ''] = invocation.positionals;
  const leaving = !invocation.options.on('undo');
  const path = `${pathOf(id)}/drain`;
  const exitCode = await sendChange(invocation, `upstream/${id}`, {
    method: 'POST',
    path,
    body: { leaving },
  });
  if (!invocation.options.on('until-empty') || !leaving) {
    return exitCode;
  }
  const emptied = await waitUntilEmpty(invocation, id);
  return exitCode === EXIT_CODES.ok ? emptied : exitCode;
}

export const upstreamDrain: CommandSpec = {
  name: 'upstream drain',
  arguments: '<id>',
  summary: 'Give an upstream no new work and move its shards away; requests in flight finish',
  options: [
    { name: 'undo', summary: 'Take an earlier drain back' },
    { name: 'until-empty', summary: 'Wait until it owns no shard any more' },
    { name: 'drain-timeout', value: 'duration', summary: 'Longest wait with --until-empty; default 5m' },
    ...CHANGE_OPTIONS,
  ],
  examples: ['upstream drain menu-7 --until-empty', 'upstream drain menu-7 --undo'],
  run: drain,
};

export const upstreamRemove: CommandSpec = {
  name: 'upstream remove',
  arguments: '<id>',
  summary: 'Forget an upstream; drain it first',
  options: [...CHANGE_OPTIONS, REVISION_OPTION],
  examples: ['upstream remove menu-7'],
  run: async (invocation) => {
    const [id = ''] = invocation.positionals;
    return sendChange(invocation, `upstream/${id}`, { method: 'DELETE', path: pathOf(id) });
  },
};
