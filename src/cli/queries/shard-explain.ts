/** `shard explain`: shows where the requests of a key go, and why. */
import { parseShardId, type ShardId } from '../../model/identifiers.js';
import { keyspaceOfKey, shardOfKey } from '../../model/key-map.js';
import type { ServiceRecord, ShardRecord, UpstreamRecord } from '../../registry/types.js';
import type { ServicesBody, StatusBody, UpstreamsBody } from '../api-types.js';
import { NotFoundError, UsageError } from '../cli-error.js';
import { CLIENT_OPTIONS, createClient } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import { readShard } from '../current.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { formatFacts, formatMillis, OUTPUT_OPTION, outputFormat, writeOutput } from '../output.js';

type Health = StatusBody['upstreams'][number];

/** The placement of one key, with its explanation. */
export interface KeyExplanation {
  readonly service: string;
  readonly key: string;
  readonly keyspace: string;
  readonly shard: ShardId;
  /** `null` if the shard never had an owner. */
  readonly record: ShardRecord | null;
  /** State of the owner's session with the leader; `null` if there is no owner. */
  readonly ownerState: Health['state'] | 'unknown' | null;
  /** Upstreams that may hold the shard and aren't draining. */
  readonly candidates: readonly string[];
  readonly conclusion: string;
}

/** Input of `explainKey`. */
export interface ExplanationFacts {
  readonly service: ServiceRecord;
  readonly key: string;
  /** `null` if the shard never had an owner. */
  readonly record: ShardRecord | null;
  readonly upstreams: readonly UpstreamRecord[];
  readonly healths: readonly Health[];
}

function selectKeyedService(services: readonly ServiceRecord[], name: string | undefined): ServiceRecord {
  const keyed = services.filter(({ definition }) => definition.keyed);
  if (name !== undefined) {
    const found = services.find(({ definition }) => definition.name === name);
    if (found === undefined) {
      throw new NotFoundError(`there is no service ${JSON.stringify(name)}`);
    }
    if (!found.definition.keyed) {
      throw new UsageError(`service ${name} isn't keyed: any of its upstreams may serve any request`);
    }
    return found;
  }
  const [only, second] = keyed;
  if (only === undefined) {
    throw new NotFoundError('there is no keyed service');
  }
  if (second !== undefined) {
    const names = keyed.map(({ definition }) => definition.name).join(', ');
    throw new UsageError(`there are several keyed services; choose one with --service: ${names}`);
  }
  return only;
}

function candidatesFor(shard: ShardId, upstreams: readonly UpstreamRecord[]): string[] {
  const parts = parseShardId(shard);
  return upstreams
    .map(({ definition }) => definition)
    .filter(({ service, leaving }) => service === parts?.service && !leaving)
    .filter(({ mayHold }) => mayHold.length === 0 || mayHold.includes(parts?.keyspace ?? ''))
    .map(({ id }) => id);
}

function conclude(
  record: ShardRecord | null,
  owner: Health | undefined,
  candidates: readonly string[],
): string {
  if (record === null || record.owner === null) {
    return candidates.length === 0
      ? 'it has no owner, and no upstream may hold it: declare one, or add its keyspace to mayHold'
      : 'it has no owner; requests are answered not-run until it is granted to one of the candidates';
  }
  if (record.movingTo !== null) {
    return `${record.owner} finishes requests in flight, then ${record.movingTo} takes over; new requests wait`;
  }
  if (owner?.state === 'leased') {
    return `requests go to ${record.owner}`;
  }
  const silence = owner?.silentMillis ?? null;
  const since = silence === null ? '' : `, silent for ${formatMillis(silence)}`;
  return `${record.owner} has no lease${since}; the shard moves once its last lease has expired`;
}

/** Returns the keyspace and shard of a key. Throws `NotFoundError` if no keyspace contains it. */
function locateKey(
  { definition, generation }: ServiceRecord,
  key: string,
): { keyspace: string; shard: ShardId } {
  const { name, keyspaces } = definition;
  const keyspace = keyspaceOfKey(keyspaces, key);
  const shard = shardOfKey({ service: name, generation, keyspaces }, key);
  if (keyspace === undefined || shard === undefined) {
    throw new NotFoundError(`no keyspace of ${name} contains the key ${JSON.stringify(key)}`);
  }
  return { keyspace: keyspace.name, shard };
}

/** Explains the placement of one key. Throws `NotFoundError` if no keyspace contains it. */
export function explainKey(facts: ExplanationFacts): KeyExplanation {
  const { service, key, record, upstreams, healths } = facts;
  const { keyspace, shard } = locateKey(service, key);
  const owner = healths.find(({ upstream }) => upstream === record?.owner);
  const candidates = candidatesFor(shard, upstreams);
  return {
    service: service.definition.name,
    key,
    keyspace,
    shard,
    record,
    ownerState: record === null || record.owner === null ? null : (owner?.state ?? 'unknown'),
    candidates,
    conclusion: conclude(record, owner, candidates),
  };
}

function explanationText(explanation: KeyExplanation): string {
  const { record } = explanation;
  const owner = record?.owner ?? 'none';
  const state = explanation.ownerState === null ? '' : ` (${explanation.ownerState})`;
  return formatFacts([
    ['key', explanation.key],
    ['service', explanation.service],
    ['keyspace', explanation.keyspace],
    ['shard', explanation.shard],
    ['owner', `${owner}${state}`],
    ['epoch', String(record?.epoch ?? 0)],
    ['moving to', record?.movingTo ?? '-'],
    ['candidates', explanation.candidates.join(', ') || 'none'],
    ['so', explanation.conclusion],
  ]);
}

async function explain(invocation: Invocation): Promise<ExitCode> {
  const { options, io, positionals } = invocation;
  const [key = ''] = positionals;
  const format = outputFormat(options);
  const client = createClient(options, io);
  const { services } = await client.read<ServicesBody>('/v1/services');
  const service = selectKeyedService(services, options.text('service'));
  const record = await readShard(client, locateKey(service, key).shard);
  const { upstreams } = await client.read<UpstreamsBody>('/v1/upstreams');
  const { upstreams: healths } = await client.readLeaderStatus();
  const explanation = explainKey({ service, key, record, upstreams, healths });
  writeOutput(io, format, explanation, () => explanationText(explanation));
  return EXIT_CODES.ok;
}

export const shardExplain: CommandSpec = {
  name: 'shard explain',
  arguments: '<key>',
  summary: 'Show which upstream serves a key, and why',
  options: [
    { name: 'service', value: 'name', summary: 'Keyed service of the key; needed if there are several' },
    OUTPUT_OPTION,
    ...CLIENT_OPTIONS,
  ],
  examples: ['shard explain home-12/2026-03-01 --service menu'],
  run: explain,
};
