/**
 * Field type of the shards of a load report: a list of the distinct beginnings of their names, then for each shard its
 * place in that list, its number and its work. Nine bytes a shard instead of some sixty: each router sends one a second.
 */
import * as restructure from 'restructure';
import type { LoadReport } from '../../control/messages.js';
import { list, text } from '../fields.js';
import { MalformedFrameError } from '../wire-error.js';

type ShardWork = LoadReport['shards'][number];

interface WorkRow {
  readonly prefix: number;
  readonly number: number;
  readonly work: number;
}

interface WorkTable {
  readonly prefixes: string[];
  readonly rows: WorkRow[];
}

const table = new restructure.Struct<WorkTable>({
  prefixes: list(text),
  rows: list(
    new restructure.Struct<WorkRow>({
      prefix: restructure.uint16,
      number: restructure.uint32,
      work: restructure.float,
    }),
  ),
});

class ShardWorkField implements restructure.FieldType<readonly ShardWork[]> {
  size(value: readonly ShardWork[]): number {
    return table.size(toTable(value));
  }

  decode(stream: restructure.DecodeStream): readonly ShardWork[] {
    const { prefixes, rows } = table.decode(stream);
    return rows.map(({ prefix, number, work }) => {
      const name = prefixes[prefix];
      if (name === undefined) {
        throw new MalformedFrameError(`${prefix} is none of ${prefixes.length} beginnings of shards' names`);
      }
      return { shard: `${name}${number}`, workMillis: work };
    });
  }

  encode(stream: restructure.EncodeStream, value: readonly ShardWork[]): void {
    table.encode(stream, toTable(value));
  }
}

function toTable(works: readonly ShardWork[]): WorkTable {
  const places = new Map<string, number>();
  const rows = works.map(({ shard, workMillis }) => {
    const end = shard.lastIndexOf('/') + 1;
    const prefix = shard.slice(0, end);
    const place = places.get(prefix) ?? places.size;
    places.set(prefix, place);
    return { prefix: place, number: Number(shard.slice(end)), work: workMillis };
  });
  return { prefixes: [...places.keys()], rows };
}

export const shardWorkField: restructure.FieldType<readonly ShardWork[]> = new ShardWorkField();
