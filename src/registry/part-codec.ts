/** Parts of a snapshot as bytes: compressed JSON, each after its length of four bytes. */
import { gunzipSync, gzipSync } from 'node:zlib';
import type { SnapshotPart } from './snapshot-parts.js';

/** The fastest; higher levels cost more time than the bytes they save are worth. */
const COMPRESSION_LEVEL = 1;
const LENGTH_BYTES = 4;

/** A part as bytes. */
export interface EncodedPart {
  readonly bytes: Buffer;
  /** Characters of its JSON: what the work was in proportion to. */
  readonly textLength: number;
}

export function encodePart(part: SnapshotPart): EncodedPart {
  const text = JSON.stringify(part);
  const compressed = gzipSync(text, { level: COMPRESSION_LEVEL });
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(compressed.length);
  return { bytes: Buffer.concat([length, compressed]), textLength: text.length };
}

/** The parts in their order; throws whatever the first bad one makes it throw. */
export function* decodeParts(snapshot: Uint8Array): Generator<SnapshotPart> {
  const bytes = Buffer.from(snapshot.buffer, snapshot.byteOffset, snapshot.byteLength);
  for (let offset = 0; offset < bytes.length; ) {
    const start = offset + LENGTH_BYTES;
    const end = start + bytes.readUInt32BE(offset);
    yield JSON.parse(gunzipSync(bytes.subarray(start, end)).toString('utf8')) as SnapshotPart;
    offset = end;
  }
}
