/**
 * Writes a snapshot in slices, so that a large state doesn't keep a member from its heartbeats. The state may change
 * meanwhile: what is written is the image taken at the start.
 */
import type { Revision } from '../model/identifiers.js';
import { encodePart } from './part-codec.js';
import type { RegistryState } from './registry-state.js';
import { imageOf, partsOf, type SnapshotPart } from './snapshot-parts.js';

/** Bytes of JSON after which a slice ends: a few milliseconds of work. */
const SLICE_BYTES = 128 * 1024;

export class SnapshotEncoder {
  /** Revision of the state that is written. */
  readonly revision: Revision;
  readonly #parts: Iterator<SnapshotPart>;
  readonly #written: Buffer[] = [];

  constructor(state: RegistryState) {
    const image = imageOf(state);
    this.revision = image.revision;
    this.#parts = partsOf(image);
  }

  /** Writes the next slice. Gives the whole snapshot once it is done, `null` before. */
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
    const { bytes, textLength } = encodePart(part);
    this.#written.push(bytes);
    return textLength;
  }
}
