/**
 * Snapshots of the registry: versioned JSON, compressed. Equal states give equal bytes.
 *
 * Shards stand as rows of numbers (`shard-rows.ts`). The changes kept for routers aren't included; a restored replica
 * sends snapshots to routers that are behind.
 */
import { gunzipSync, gzipSync } from 'node:zlib';
import { toError } from '../errors/ternmount-error.js';
import { Ledger, type LedgerState } from '../ledger/index.js';
import type { Revision, WallMillis } from '../model/identifiers.js';
import { decodeShardRows, encodeShardRows, NameTable, type ShardGroup } from '../model/shard-rows.js';
import { ChangeRing } from './change-ring.js';
import { type DedupEntry, DedupTable } from './dedup-table.js';
import { RegistrySnapshotError } from './errors.js';
import { RegistryState } from './registry-state.js';
import type { ServiceRecord, UpstreamRecord } from './types.js';

const SNAPSHOT_VERSION = 1;
/** The fastest; higher levels cost more time than the bytes they save are worth. */
const COMPRESSION_LEVEL = 1;
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

/** Writes a state. */
export function encodeState(state: RegistryState): Uint8Array {
  const table = new NameTable();
  const shards = encodeShardRows(state.shards.records().values(), table);
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
  for (const record of decodeShardRows(document.shards, document.names)) {
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
