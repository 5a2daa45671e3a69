/**
 * Field type of the shards of a load report: a list of the distinct beginnings of their names, then for each shard its
 * place in that list, its number, its work and its requests. Twelve bytes a shard instead of some sixty: each router sends one a second.
 */
import type * as restructure from 'restructure';
import type { LoadReport } from '../../control/messages.js';
import { list, text } from '../fields.js';
import { MalformedFrameError } from '../wire-error.js';

type ShardWork = LoadReport['shards'][number];

/** A row: place of the beginning (uint16), number (uint32), work (float), requests (uint16). */
const ROW_BYTES = 2 + 4 + 4 + 2;
const MOST_REQUESTS = 2 ** 16 - 1;
const COUNT_BYTES = 4;
const prefixList = list(text);

interface WorkRow {
  readonly prefix: number;
  readonly number: number;
  readonly workMillis: number;
  readonly requests: number;
}

interface WorkTable {
  readonly prefixes: string[];
  readonly rows: readonly WorkRow[];
}

/** Rows are written and read field by field: a leader reads some 77,000 of them a second. */
class ShardWorkField implements restructure.FieldType<readonly ShardWork[]> {
  size(works: readonly ShardWork[]): number {
    return prefixList.size(toTable(works).prefixes) + COUNT_BYTES + works.length * ROW_BYTES;
  }

  decode(stream: restructure.DecodeStream): readonly ShardWork[] {
    const prefixes = prefixList.decode(stream);
    const count = stream.readUInt32BE();
    const left = stream.length - stream.pos;
    if (count * ROW_BYTES > left) {
      throw new MalformedFrameError(`${count} shards in a frame with ${left} bytes left`);
    }
    return Array.from({ length: count }, () => decodeRow(stream, prefixes));
  }

  encode(stream: restructure.EncodeStream, works: readonly ShardWork[]): void {
    const { prefixes, rows } = toTable(works);
    prefixList.encode(stream, prefixes);
    stream.writeUInt32BE(rows.length);
    for (const { prefix, number, workMillis, requests } of rows) {
      stream.writeUInt16BE(prefix);
      stream.writeUInt32BE(number);
      stream.writeFloatBE(workMillis);
      stream.writeUInt16BE(Math.min(MOST_REQUESTS, Math.round(requests)));
    }
  }
}

function decodeRow(stream: restructure.DecodeStream, prefixes: readonly string[]): ShardWork {
  const prefix = stream.readUInt16BE();
  const number = stream.readUInt32BE();
  const workMillis = stream.readFloatBE();
  const requests = stream.readUInt16BE();
  const name = prefixes[prefix];
  if (name === undefined) {
    throw new MalformedFrameError(`${prefix} is none of ${prefixes.length} beginnings of shards' names`);
  }
  return { shard: `${name}${number}`, workMillis, requests };
}

function toTable(works: readonly ShardWork[]): WorkTable {
  const places = new Map<string, number>();
  const rows = works.map(({ shard, workMillis, requests }) => {
    const end = shard.lastIndexOf('/') + 1;
    const name = shard.slice(0, end);
    const prefix = places.get(name) ?? places.size;
    places.set(name, prefix);
    return { prefix, number: Number(shard.slice(end)), workMillis, requests };
  });
  return { prefixes: [...places.keys()], rows };
}

export const shardWorkField: restructure.FieldType<readonly ShardWork[]> = new ShardWorkField();
