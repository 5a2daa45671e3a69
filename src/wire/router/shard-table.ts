/**
 * The shards of a routing snapshot, as fixed-size rows that refer to a list of texts. Rows that were read share the
 * texts of their owners, and ninety thousand of them take a fifth of what JSON would.
 */
import type * as restructure from 'restructure';
import type { ShardId } from '../../model/identifiers.js';
import type { ShardRecord } from '../../registry/types.js';
import { list, safeInteger, text, uint32 } from '../fields.js';
import { MalformedFrameError } from '../wire-error.js';

/** Bytes of one row: five places in the list of texts or numbers, an epoch and a revision. */
const ROW_BYTES = 5 * 4 + 2 * 8;
const COUNT_BYTES = 4;
const textList = list(text);

/** A table as it is written: rows refer to texts by their place counted from 1; 0 stands for `null`. */
interface IndexedTable {
  readonly texts: string[];
  readonly indexes: ReadonlyMap<string, number>;
}

/** A shard's name in two parts; all shards of a keyspace share the first. */
interface SplitName {
  readonly prefix: string;
  readonly number: number;
}

/** `restructure` asks for the size several times before it writes, so the texts are kept until they were written. */
class ShardTableField implements restructure.FieldType<readonly ShardRecord[]> {
  private records: readonly ShardRecord[] | undefined;
  private table: IndexedTable | undefined;

  size(records: readonly ShardRecord[]): number {
    return textList.size(this.tableOf(records).texts) + COUNT_BYTES + records.length * ROW_BYTES;
  }

  encode(stream: restructure.EncodeStream, records: readonly ShardRecord[]): void {
    const table = this.tableOf(records);
    this.records = undefined;
    this.table = undefined;
    textList.encode(stream, table.texts);
    uint32.encode(stream, records.length);
    for (const record of records) {
      encodeRow(stream, record, table.indexes);
    }
  }

  decode(stream: restructure.DecodeStream): readonly ShardRecord[] {
    const texts = [null, ...textList.decode(stream)];
    const count = uint32.decode(stream);
    const left = stream.length - stream.pos;
    if (count * ROW_BYTES > left) {
      throw new MalformedFrameError(`${count} shards in a frame with ${left} bytes left`);
    }
    return Array.from({ length: count }, () => decodeRow(stream, texts));
  }

  private tableOf(records: readonly ShardRecord[]): IndexedTable {
    if (this.table === undefined || this.records !== records) {
      this.records = records;
      this.table = indexTexts(records);
    }
    return this.table;
  }
}

function indexTexts(records: readonly ShardRecord[]): IndexedTable {
  const indexes = new Map<string, number>();
  const add = (value: string | null): void => {
    if (value !== null && !indexes.has(value)) {
      indexes.set(value, indexes.size + 1);
    }
  };
  for (const { shard, owner, incarnation, movingTo } of records) {
    add(splitName(shard).prefix);
    add(owner);
    add(incarnation);
    add(movingTo);
  }
  return { texts: [...indexes.keys()], indexes };
}

function encodeRow(
  stream: restructure.EncodeStream,
  record: ShardRecord,
  indexes: ReadonlyMap<string, number>,
): void {
  const { prefix, number } = splitName(record.shard);
  const indexOf = (value: string | null): number => (value === null ? 0 : (indexes.get(value) as number));
  stream.writeUInt32BE(indexOf(prefix));
  stream.writeUInt32BE(number);
  stream.writeUInt32BE(indexOf(record.owner));
  stream.writeUInt32BE(indexOf(record.incarnation));
  stream.writeUInt32BE(indexOf(record.movingTo));
  safeInteger.encode(stream, record.epoch);
  safeInteger.encode(stream, record.revision);
}

function decodeRow(stream: restructure.DecodeStream, texts: readonly (string | null)[]): ShardRecord {
  const prefix = readText(stream, texts);
  const number = stream.readUInt32BE();
  if (prefix === null) {
    throw new MalformedFrameError('a shard without a name');
  }
  return {
    shard: `${prefix}${number}`,
    owner: readText(stream, texts),
    incarnation: readText(stream, texts),
    movingTo: readText(stream, texts),
    epoch: safeInteger.decode(stream),
    revision: safeInteger.decode(stream),
  };
}

function readText(stream: restructure.DecodeStream, texts: readonly (string | null)[]): string | null {
  const index = stream.readUInt32BE();
  const value = texts[index];
  if (value === undefined) {
    throw new MalformedFrameError(`text ${index} of ${texts.length - 1}`);
  }
  return value;
}

function splitName(shard: ShardId): SplitName {
  const end = shard.lastIndexOf('/') + 1;
  return { prefix: shard.slice(0, end), number: Number(shard.slice(end)) };
}

export const shardTable: restructure.FieldType<readonly ShardRecord[]> = new ShardTableField();
