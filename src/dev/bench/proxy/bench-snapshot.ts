/** The configuration of the bench's routers. */
import { type Address, formatShardId } from '../../../model/identifiers.js';
import type { ServiceDefinition } from '../../../model/service.js';
import type { RoutingSnapshot, ShardRecord, UpstreamRecord } from '../../../registry/types.js';
import { BENCH_SERVICE } from './bench-identity.js';

export interface BenchSnapshotOptions {
  readonly upstreams: readonly Address[];
  readonly shards: number;
  readonly slotsPerUpstream: number;
}

const REVISION = 1000;
const GENERATION = 10;
const KEYSPACE = 'all';

/** Returns a snapshot of one keyed, repeatable service whose shards are assigned to the upstreams round-robin. */
export function benchSnapshot(options: BenchSnapshotOptions): RoutingSnapshot {
  const { upstreams, shards } = options;
  return {
    revision: REVISION,
    services: [{ definition: serviceOf(options), revision: GENERATION, generation: GENERATION }],
    upstreams: upstreams.map((address, index) => upstreamAt(address, index)),
    shards: Array.from({ length: shards }, (_, number) => shardOn(number, number % upstreams.length)),
    routes: [],
    declaration: null,
    ranges: [],
    suspects: [],
  };
}

function serviceOf({ shards, slotsPerUpstream }: BenchSnapshotOptions): ServiceDefinition {
  return {
    name: BENCH_SERVICE,
    keyed: true,
    repeatable: true,
    priority: 'interactive',
    deadlineMillis: 5000,
    slotsPerUpstream,
    retryBudget: 0.1,
    queueLimit: 1000,
    holdLimitMillis: 1000,
    coalesce: false,
    wholeAnswerBytes: 65_536,
    retentionMillis: 3_600_000,
    placement: { unavailability: 1, imbalance: 1, churn: 1 },
    movesPerMinute: 10,
    keyspaces: [{ name: KEYSPACE, kind: 'prefix', match: '', shards }],
    policy: [],
  };
}

function upstreamAt(address: Address, index: number): UpstreamRecord {
  const id = upstreamName(index);
  return {
    definition: { id, service: BENCH_SERVICE, address, zone: 'bench', mayHold: [], leaving: false },
    revision: GENERATION,
    incarnation: incarnationOf(index),
  };
}

function shardOn(number: number, upstream: number): ShardRecord {
  return {
    shard: formatShardId({ service: BENCH_SERVICE, keyspace: KEYSPACE, generation: GENERATION, number }),
    owner: upstreamName(upstream),
    incarnation: incarnationOf(upstream),
    epoch: GENERATION + 1 + upstream,
    movingTo: null,
    revision: GENERATION + 1 + upstream,
  };
}

function upstreamName(index: number): string {
  return `bench-${index}`;
}

/** Returns an incarnation of the same length as real ones, which are UUIDs. */
function incarnationOf(index: number): string {
  return `00000000-0000-4000-8000-${String(index).padStart(12, '0')}`;
}
