/**
 * An answer that flows from an upstream to the callers it was delivered to. If it breaks, their connections are
 * broken too, so that none of them takes a piece for the whole.
 */
import type { AnswerWriter } from '../caller/answer-writer.js';

export interface AnswerStreamOptions {
  /** Reads on from the upstream. */
  readonly resume: () => void;
  /** No caller is left. */
  readonly abandoned: () => void;
}

export class AnswerStream {
  private readonly readers = new Set<AnswerWriter>();
  /** Callers for whom nothing more can be held. */
  private readonly blocked = new Set<AnswerWriter>();
  private started = false;
  private over = false;

  constructor(private readonly options: AnswerStreamOptions) {}

  /** Adds a caller, before the stream starts. */
  add(reader: AnswerWriter): void {
    if (this.over || this.started) {
      reader.breakOff();
      return;
    }
    this.readers.add(reader);
    reader.onRoom = () => this.unblock(reader);
    reader.onGone = () => this.remove(reader);
  }

  /** Writes what was read before, and reads on. */
  start(chunks: readonly Buffer[]): void {
    if (this.started || this.over) {
      return;
    }
    if (this.readers.size === 0) {
      this.over = true;
      this.options.abandoned();
      return;
    }
    this.started = true;
    for (const chunk of chunks) {
      this.write(chunk);
    }
    for (const reader of this.readers) {
      if (!reader.hasRoom()) {
        this.blocked.add(reader);
      }
    }
    if (this.blocked.size === 0) {
      this.resume();
    }
  }

  /** Gives `false` if nothing more can be held for a caller now. */
  write(chunk: Buffer): boolean {
    for (const reader of this.readers) {
      if (!reader.write(chunk)) {
        this.blocked.add(reader);
      }
    }
    return this.blocked.size === 0;
  }

  end(): void {
    this.over = true;
    for (const reader of this.readers) {
      reader.end();
    }
  }

  breakOff(): void {
    this.over = true;
    for (const reader of this.readers) {
      reader.breakOff();
    }
  }

  private unblock(reader: AnswerWriter): void {
    if (this.blocked.delete(reader) && this.blocked.size === 0) {
      this.resume();
    }
  }

  /** Room comes while another answer is read or breaks. Read there and then, this one would be taken for a part of that. */
  private resume(): void {
    setImmediate(() => {
      if (!this.over && this.blocked.size === 0) {
        this.options.resume();
      }
    });
  }

  private remove(reader: AnswerWriter): void {
    this.readers.delete(reader);
    if (this.readers.size === 0 && !this.over) {
      this.over = true;
      this.options.abandoned();
    }
    this.unblock(reader);
  }
}
