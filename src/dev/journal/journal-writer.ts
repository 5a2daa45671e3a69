/** Appends records to a journal. Each record is passed to the kernel before `write` returns, so it survives SIGKILL. */
import { closeSync, mkdirSync, openSync, writeSync } from 'node:fs';
import { dirname } from 'node:path';
import type { JournalRecord } from './records.js';

export class JournalWriter {
  readonly #descriptor: number;
  #closed = false;

  /** Opens `file` for appending and creates its folder. */
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
