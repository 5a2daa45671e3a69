/**
 * Writes a snapshot in slices, so that a large state doesn't block the heartbeats of a cluster member. The state may change
 * meanwhile: the snapshot holds the image taken at the start.
 */
import { gzipSync } from 'node:zlib';
import type { Revision } from '../model/identifiers.js';
import { deepJson } from './canonical-json.js';
import type { RegistryState } from './registry-state.js';
import { imageOf, partsOf, type SnapshotPart } from './snapshot-parts.js';

/** The fastest level; the bytes saved by higher levels don't justify their time. */
const COMPRESSION_LEVEL = 1;
/** Bytes of JSON after which a slice ends; they take a few milliseconds. */
const SLICE_BYTES = 128 * 1024;
/** Size of the length prefix of each compressed part. */
export const LENGTH_BYTES = 4;

export class SnapshotEncoder {
  /** Revision of the state being written. */
  readonly revision: Revision;
  readonly #parts: Iterator<SnapshotPart>;
  readonly #written: Buffer[] = [];

  constructor(state: RegistryState) {
    const image = imageOf(state);
    this.revision = image.revision;
    this.#parts = partsOf(image);
  }

  /** Writes the next slice. Returns the whole snapshot after the last slice, `null` before. */
  step(): Uint8Array | null {
    for (let bytes = 0; bytes < SLICE_BYTES; ) {
      const next = this.#parts.next();
      if (next.done) {
        return Buffer.concat(this.#written);
      }
      bytes += this.#write(next.value);
    }
    return null;
  }

  #write(part: SnapshotPart): number {
    const text = textOf(part);
    this.#written.push(frame(text));
    return text.length;
  }
}

/** Encodes one part: its length, then its compressed JSON. */
export function encodePart(part: SnapshotPart): Buffer {
  return frame(textOf(part));
}

/** What operators declared is kept as they sent it, however deep. */
function textOf(part: SnapshotPart): string {
  return part.part === 'declared' ? deepJson(part) : JSON.stringify(part);
}

function frame(text: string): Buffer {
  const compressed = gzipSync(text, { level: COMPRESSION_LEVEL });
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(compressed.length);
  return Buffer.concat([length, compressed]);
}
