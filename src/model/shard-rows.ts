/**
 * Compact encoding of shards as rows of numbers, grouped by service, keyspace and generation, with upstreams and incarnations
 * as indexes into a table of names. It takes a tenth of the size of one object per shard. Snapshots on disk and on the wire use it.
 */
import type { ShardRecord } from '../registry/types.js';
import { formatShardId, parseShardId, type Revision } from './identifiers.js';

/** Index of `null` in a table of names. */
const NO_NAME = -1;
/** Fields of a row: number, owner, incarnation, epoch, target, revision. */
const ROW_LENGTH = 6;

/** Shards of one generation of one keyspace. */
export interface ShardGroup {
  readonly service: string;
  readonly keyspace: string;
  readonly generation: Revision;
  /** Concatenated rows, ordered by shard number. */
  readonly rows: number[];
}

/** Assigns an index to each name. */
export class NameTable {
  readonly names: string[] = [];
  private readonly positions = new Map<string, number>();

  positionOf(name: string | null): number {
    if (name === null) {
      return NO_NAME;
    }
    const existing = this.positions.get(name);
    if (existing !== undefined) {
      return existing;
    }
    this.names.push(name);
    this.positions.set(name, this.names.length - 1);
    return this.names.length - 1;
  }
}

interface NumberedShard {
  readonly number: number;
  readonly record: ShardRecord;
}

/** Encodes shards; equal sets of shards give equal groups. Throws `TypeError` on a malformed shard name. */
export function encodeShardRows(records: Iterable<ShardRecord>, table: NameTable): ShardGroup[] {
  const groups = new Map<string, NumberedShard[]>();
  for (const record of records) {
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

/** Decodes the output of `encodeShardRows`. */
export function* decodeShardRows(
  groups: readonly ShardGroup[],
  names: readonly string[],
): Iterable<ShardRecord> {
  const nameAt = (position: number): string | null => names[position] ?? null;
  for (const { service, keyspace, generation, rows } of groups) {
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

function encodeGroup(members: NumberedShard[], table: NameTable): ShardGroup {
  members.sort((one, other) => one.number - other.number);
  const first = members[0] as NumberedShard;
  const parts = parseShardId(first.record.shard);
  if (parts === undefined) {
    throw new TypeError(`${first.record.shard} isn't the name of a shard`);
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
