/** Follows a journal while another process writes it. */
import { closeSync, existsSync, openSync, readSync } from 'node:fs';
import type { JournalRecord } from './records.js';

const CHUNK_BYTES = 1024 * 1024;

export class JournalTail {
  readonly #file: string;
  /** Buffers a character that is split between two reads. */
  readonly #decoder = new TextDecoder();
  #offset = 0;
  #incompleteLine = '';

  constructor(file: string) {
    this.#file = file;
  }

  /** Returns the records written since the last call; an incomplete line is returned by a later call. */
  read(): JournalRecord[] {
    if (!existsSync(this.#file)) {
      return [];
    }
    const lines = (this.#incompleteLine + this.#readNew()).split('\n');
    this.#incompleteLine = lines.pop() ?? '';
    return lines.map((line) => JSON.parse(line) as JournalRecord);
  }

  #readNew(): string {
    const descriptor = openSync(this.#file, 'r');
    const chunk = Buffer.alloc(CHUNK_BYTES);
    let text = '';
    try {
      for (;;) {
        const bytes = readSync(descriptor, chunk, 0, CHUNK_BYTES, this.#offset);
        if (bytes === 0) {
          return text;
        }
        this.#offset += bytes;
        text += this.#decoder.decode(chunk.subarray(0, bytes), { stream: true });
      }
    } finally {
      closeSync(descriptor);
    }
  }
}
