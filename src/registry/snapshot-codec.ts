/**
 * Snapshots of the registry: versioned JSON, compressed. Equal states give equal bytes.
 *
 * Shards stand in groups (service, keyspace, generation) as rows of numbers, with upstreams and incarnations as
 * positions in tables of names: a tenth of the size of one object a shard. The changes kept for routers aren't
 * included; a restored replica sends snapshots to routers that are behind.
 */
import { gunzipSync, gzipSync } from 'node:zlib';
import { toError } from '../errors/ternmount-error.js';
import { Ledger, type LedgerState } from '../ledger/index.js';
import { formatShardId, parseShardId, type Revision, type WallMillis } from '../model/identifiers.js';
import { ChangeRing } from './change-ring.js';
import { type DedupEntry, DedupTable } from './dedup-table.js';
import { RegistrySnapshotError } from './errors.js';
import { RegistryState } from './registry-state.js';
import type { ServiceRecord, ShardRecord, UpstreamRecord } from './types.js';

const SNAPSHOT_VERSION = 1;
/** The fastest; higher levels cost more time than the bytes they save are worth. */
const COMPRESSION_LEVEL = 1;
/** Position of `null` in a table of names. */
const NO_NAME = -1;
/** Fields of a row: number, owner, incarnation, epoch, target, revision. */
const ROW_LENGTH = 6;

interface ShardGroup {
  readonly service: string;
  readonly keyspace: string;
  readonly generation: Revision;
  /** Rows one after the other. */
  readonly rows: number[];
}

interface SnapshotDocument {
  readonly version: number;
  readonly revision: Revision;
  readonly clock: WallMillis;
  readonly sweptAt: WallMillis;
  readonly services: readonly ServiceRecord[];
  readonly upstreams: readonly UpstreamRecord[];
  readonly names: readonly string[];
  readonly shards: readonly ShardGroup[];
  readonly ledger: LedgerState;
  readonly dedup: readonly DedupEntry[];
}

/** Gives each name a position. */
class NameTable {
  readonly names: string[] = [];
  private readonly positions = new Map<string, number>();

  positionOf(name: string | null): number {
    if (name === null) {
      return NO_NAME;
    }
    const known = this.positions.get(name);
    if (known !== undefined) {
      return known;
    }
    this.names.push(name);
    this.positions.set(name, this.names.length - 1);
    return this.names.length - 1;
  }
}

/** Writes a state. */
export function encodeState(state: RegistryState): Uint8Array {
  const table = new NameTable();
  const shards = encodeShards(state.shards.records(), table);
  const document: SnapshotDocument = {
    version: SNAPSHOT_VERSION,
    revision: state.revision,
    clock: state.clock,
    sweptAt: state.sweptAt,
    services: sortedValues(state.services),
    upstreams: sortedValues(state.upstreams),
    names: table.names,
    shards,
    ledger: state.ledger.toState(),
    dedup: state.dedup.list(),
  };
  return gzipSync(JSON.stringify(document), { level: COMPRESSION_LEVEL });
}

/** Reads a state; throws `RegistrySnapshotError`. */
export function decodeState(bytes: Uint8Array): RegistryState {
  const document = parseDocument(bytes);
  if (document.version !== SNAPSHOT_VERSION) {
    throw new RegistrySnapshotError(`version ${document.version} of the registry's snapshot isn't known`);
  }
  const ledger = Ledger.fromState(document.ledger);
  const state = new RegistryState(ledger, new DedupTable(document.dedup), new ChangeRing(document.revision));
  state.revision = document.revision;
  state.clock = document.clock;
  state.sweptAt = document.sweptAt;
  for (const record of document.services) {
    state.services.set(record.definition.name, record);
    state.shards.setKeyMap(record);
  }
  for (const record of document.upstreams) {
    state.upstreams.set(record.definition.id, record);
  }
  for (const record of decodeShards(document)) {
    state.shards.put(record.shard, record);
  }
  return state;
}

function parseDocument(bytes: Uint8Array): SnapshotDocument {
  try {
    return JSON.parse(gunzipSync(bytes).toString('utf8')) as SnapshotDocument;
  } catch (thrown) {
    throw new RegistrySnapshotError("the registry's snapshot can't be read", toError(thrown));
  }
}

function sortedValues<Value>(map: ReadonlyMap<string, Value>): Value[] {
  return [...map.keys()].sort().map((key) => map.get(key) as Value);
}

interface NumberedShard {
  readonly number: number;
  readonly record: ShardRecord;
}

function encodeShards(records: ReadonlyMap<string, ShardRecord>, table: NameTable): ShardGroup[] {
  const groups = new Map<string, NumberedShard[]>();
  for (const record of records.values()) {
    const end = record.shard.lastIndexOf('/');
    const group = record.shard.slice(0, end);
    const numbered = { number: Number(record.shard.slice(end + 1)), record };
    const members = groups.get(group);
    if (members === undefined) {
      groups.set(group, [numbered]);
    } else {
      members.push(numbered);
    }
  }
  const names = [...groups.keys()].sort();
  return names.map((name) => encodeGroup(groups.get(name) as NumberedShard[], table));
}

function encodeGroup(members: NumberedShard[], table: NameTable): ShardGroup {
  members.sort((one, other) => one.number - other.number);
  const first = members[0] as NumberedShard;
  const parts = parseShardId(first.record.shard);
  if (parts === undefined) {
    throw new RegistrySnapshotError(`${first.record.shard} isn't the name of a shard`);
  }
  const rows: number[] = [];
  for (const { number, record } of members) {
    const owner = table.positionOf(record.owner);
    const incarnation = table.positionOf(record.incarnation);
    const target = table.positionOf(record.movingTo);
    rows.push(number, owner, incarnation, record.epoch, target, record.revision);
  }
  const { service, keyspace, generation } = parts;
  return { service, keyspace, generation, rows };
}

function* decodeShards(document: SnapshotDocument): Iterable<ShardRecord> {
  const nameAt = (position: number): string | null => document.names[position] ?? null;
  for (const { service, keyspace, generation, rows } of document.shards) {
    for (let start = 0; start < rows.length; start += ROW_LENGTH) {
      const row = rows.slice(start, start + ROW_LENGTH) as [number, number, number, number, number, number];
      const [number, owner, incarnation, epoch, target, revision] = row;
      yield {
        shard: formatShardId({ service, keyspace, generation, number }),
        owner: nameAt(owner),
        incarnation: nameAt(incarnation),
        epoch,
        movingTo: nameAt(target),
        revision,
      };
    }
  }
}
