/** Appends records to a journal. Each one is handed to the kernel before `write` returns, so it outlives SIGKILL. */
import { closeSync, mkdirSync, openSync, writeSync } from 'node:fs';
import { dirname } from 'node:path';
import type { JournalRecord } from './records.js';

export class JournalWriter {
  readonly #descriptor: number;
  #closed = false;

  /** Opens `file` for appending and makes its folder. */
  constructor(file: string) {
    mkdirSync(dirname(file), { recursive: true });
    this.#descriptor = openSync(file, 'a');
  }

  write(record: JournalRecord): void {
    if (!this.#closed) {
      writeSync(this.#descriptor, `${JSON.stringify(record)}\n`);
    }
  }

  close(): void {
    if (!this.#closed) {
      this.#closed = true;
      closeSync(this.#descriptor);
    }
  }
}
