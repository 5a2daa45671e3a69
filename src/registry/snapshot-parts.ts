/**
 * The parts of a registry snapshot, each small enough to be written without blocking the event loop. Their order and content
 * depend only on the log, so that equal states give equal parts.
 */
import type { KeptRecord, LedgerState, Tombstone } from '../ledger/index.js';
import type { CrashSuspect } from '../model/crash-suspect.js';
import type { EvacuationRecord } from '../model/evacuation.js';
import type { Revision, ServiceName, WallMillis } from '../model/identifiers.js';
import type { KeyRange } from '../model/key-range.js';
import { encodeShardRows, NameTable, type ShardGroup } from '../model/shard-rows.js';
import type { DeclaredImage } from './declaration/declared-state.js';
import type { DedupEntry } from './dedup-table.js';
import type { DepartedEntry } from './departed-upstreams.js';
import type { RegistryState } from './registry-state.js';
import type { RetiredRanges, ServiceRecord, ShardRecord, UpstreamRecord } from './types.js';

/** Format version, stored in the head of each snapshot. */
export const SNAPSHOT_VERSION = 2;

/** Approximate size at which a part ends; a large record can make its part exceed it. */
const TARGET_PART_BYTES = 64 * 1024;
/** Approximate sizes of records as JSON, without the body of a stored response. */
const SERVICE_BYTES = 2000;
const UPSTREAM_BYTES = 300;
const SHARD_BYTES = 30;
const LEDGER_BYTES = 400;
const DEDUP_BYTES = 250;
const DEPARTED_BYTES = 30;
const RANGE_BYTES = 150;
const SUSPECT_BYTES = 250;

/** One part, as JSON. */
export type SnapshotPart =
  | {
      readonly part: 'head';
      readonly version: number;
      readonly revision: Revision;
      readonly clock: WallMillis;
      readonly sweptAt: WallMillis;
    }
  | { readonly part: 'services'; readonly services: readonly ServiceRecord[] }
  | { readonly part: 'upstreams'; readonly upstreams: readonly UpstreamRecord[] }
  /** `names` holds the names that no earlier part contains; their positions continue across parts. */
  | { readonly part: 'shards'; readonly names: readonly string[]; readonly shards: readonly ShardGroup[] }
  /** Starts the ledger of a service; its records and tombstones follow. */
  | {
      readonly part: 'ledger';
      readonly name: ServiceName;
      readonly active: boolean;
      readonly horizon: WallMillis;
      readonly retentionMillis: number;
    }
  | { readonly part: 'records'; readonly records: readonly KeptRecord[] }
  | { readonly part: 'tombstones'; readonly tombstones: readonly Tombstone[] }
  | { readonly part: 'declared'; readonly declared: DeclaredImage }
  | { readonly part: 'departed'; readonly departed: readonly DepartedEntry[] }
  | { readonly part: 'ranges'; readonly ranges: readonly KeyRange[] }
  /** Retired ranges of one service; further parts continue its list. */
  | { readonly part: 'retired-ranges'; readonly retired: RetiredRanges }
  | { readonly part: 'suspects'; readonly suspects: readonly CrashSuspect[] }
  /** Left out if no zone is under evacuation. */
  | { readonly part: 'evacuations'; readonly evacuations: readonly EvacuationRecord[] }
  | { readonly part: 'dedup'; readonly dedup: readonly DedupEntry[] }
  | { readonly part: 'end' };

/** The state at one revision. It references the records themselves, which are replaced and never mutated. */
export interface StateImage {
  readonly revision: Revision;
  readonly clock: WallMillis;
  readonly sweptAt: WallMillis;
  readonly services: readonly ServiceRecord[];
  readonly upstreams: readonly UpstreamRecord[];
  readonly shards: readonly ShardRecord[];
  /** `null`: no document has been declared. */
  readonly declared: DeclaredImage | null;
  readonly departed: readonly DepartedEntry[];
  readonly ranges: readonly KeyRange[];
  readonly retired: readonly RetiredRanges[];
  readonly suspects: readonly CrashSuspect[];
  readonly evacuations: readonly EvacuationRecord[];
  readonly ledger: LedgerState;
  readonly dedup: readonly DedupEntry[];
}

/** Takes an image of a state: copies the lists, not the records. */
export function imageOf(state: RegistryState): StateImage {
  const { revision, clock, sweptAt, services, upstreams, shards, ledger, dedup } = state;
  const { declared, departed, ranges, suspects, evacuations } = state;
  return {
    revision,
    clock,
    sweptAt,
    services: [...services.values()],
    upstreams: [...upstreams.values()],
    shards: [...shards.records().values()],
    declared: declared.toImage(),
    departed: departed.list(),
    ranges: ranges.all(),
    retired: [...ranges.retired.values()],
    suspects: suspects.all(),
    evacuations: [...evacuations.values()],
    ledger: ledger.toState(),
    dedup: dedup.list(),
  };
}

/** Generates the parts of an image lazily. */
export function* partsOf(image: StateImage): Generator<SnapshotPart> {
  const { revision, clock, sweptAt } = image;
  yield { part: 'head', version: SNAPSHOT_VERSION, revision, clock, sweptAt };
  for (const services of chunksOf(image.services, () => SERVICE_BYTES)) {
    yield { part: 'services', services };
  }
  for (const upstreams of chunksOf(image.upstreams, () => UPSTREAM_BYTES)) {
    yield { part: 'upstreams', upstreams };
  }
  yield* shardParts(image.shards);
  yield* declaredParts(image);
  for (const suspects of chunksOf(image.suspects, () => SUSPECT_BYTES)) {
    yield { part: 'suspects', suspects };
  }
  if (image.evacuations.length > 0) {
    yield { part: 'evacuations', evacuations: image.evacuations };
  }
  yield* ledgerParts(image.ledger);
  for (const dedup of chunksOf(image.dedup, () => DEDUP_BYTES)) {
    yield { part: 'dedup', dedup };
  }
  yield { part: 'end' };
}

function* shardParts(records: readonly ShardRecord[]): Generator<SnapshotPart> {
  const table = new NameTable();
  for (const chunk of chunksOf(records, () => SHARD_BYTES)) {
    const known = table.names.length;
    const shards = encodeShardRows(chunk, table);
    yield { part: 'shards', names: table.names.slice(known), shards };
  }
}

function* declaredParts({ declared, departed, ranges, retired }: StateImage): Generator<SnapshotPart> {
  if (declared !== null) {
    yield { part: 'declared', declared };
  }
  for (const chunk of chunksOf(departed, () => DEPARTED_BYTES)) {
    yield { part: 'departed', departed: chunk };
  }
  for (const chunk of chunksOf(ranges, () => RANGE_BYTES)) {
    yield { part: 'ranges', ranges: chunk };
  }
  for (const { ranges: all, ...terms } of retired) {
    for (const chunk of chunksOf(all, () => RANGE_BYTES)) {
      yield { part: 'retired-ranges', retired: { ...terms, ranges: chunk } };
    }
  }
}

function* ledgerParts({ services }: LedgerState): Generator<SnapshotPart> {
  for (const { name, active, ledger } of services) {
    const { horizon, retentionMillis } = ledger;
    yield { part: 'ledger', name, active, horizon, retentionMillis };
    for (const records of chunksOf(ledger.records, recordBytes)) {
      yield { part: 'records', records };
    }
    for (const tombstones of chunksOf(ledger.tombstones, () => LEDGER_BYTES)) {
      yield { part: 'tombstones', tombstones };
    }
  }
}

function recordBytes({ record }: KeptRecord): number {
  return LEDGER_BYTES + (record.answer?.body.length ?? 0);
}

/** Splits a list into chunks of about `TARGET_PART_BYTES`. */
function* chunksOf<Item>(
  items: readonly Item[],
  bytesOf: (item: Item) => number,
): Generator<readonly Item[]> {
  let start = 0;
  let bytes = 0;
  for (let index = 0; index < items.length; index += 1) {
    bytes += bytesOf(items[index] as Item);
    if (bytes >= TARGET_PART_BYTES) {
      yield items.slice(start, index + 1);
      start = index + 1;
      bytes = 0;
    }
  }
  if (start < items.length) {
    yield items.slice(start);
  }
}
