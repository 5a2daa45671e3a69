/**
 * An answer streamed from an upstream to one or more callers. If the upstream's connection breaks, the callers' connections
 * are closed too, so that none of them takes a partial answer for the whole.
 */
import type { AnswerWriter } from '../caller/answer-writer.js';

export interface AnswerStreamOptions {
  /** Resumes reading from the upstream. */
  readonly resume: () => void;
  /** Called when no caller is left. */
  readonly onAbandoned: () => void;
}

export class AnswerStream {
  private readonly readers = new Set<AnswerWriter>();
  /** Callers whose buffers are full. */
  private readonly blocked = new Set<AnswerWriter>();
  private started = false;
  private isOver = false;

  constructor(private readonly options: AnswerStreamOptions) {}

  /** Adds a caller; only possible before the stream starts. */
  add(reader: AnswerWriter): void {
    if (this.isOver || this.started) {
      reader.abort();
      return;
    }
    this.readers.add(reader);
    reader.onWritable = () => this.unblock(reader);
    reader.onClose = () => this.remove(reader);
  }

  /** Writes the chunks read so far, then resumes reading. */
  start(chunks: readonly Buffer[]): void {
    if (this.started || this.isOver) {
      return;
    }
    if (this.readers.size === 0) {
      this.isOver = true;
      this.options.onAbandoned();
      return;
    }
    this.started = true;
    for (const chunk of chunks) {
      this.write(chunk);
    }
    for (const reader of this.readers) {
      if (!reader.isWritable()) {
        this.blocked.add(reader);
      }
    }
    if (this.blocked.size === 0) {
      this.resume();
    }
  }

  /** Returns `false` if the buffer of any caller is full. */
  write(chunk: Buffer): boolean {
    for (const reader of this.readers) {
      if (!reader.write(chunk)) {
        this.blocked.add(reader);
      }
    }
    return this.blocked.size === 0;
  }

  end(): void {
    this.isOver = true;
    for (const reader of this.readers) {
      reader.end();
    }
  }

  breakOff(): void {
    this.isOver = true;
    for (const reader of this.readers) {
      reader.abort();
    }
  }

  private unblock(reader: AnswerWriter): void {
    if (this.blocked.delete(reader) && this.blocked.size === 0) {
      this.resume();
    }
  }

  /**
   * Deferred because buffer space becomes free while another answer is read or breaks: chunks of this answer that were read within the
   * same call would be taken for a part of the other one.
   */
  private resume(): void {
    setImmediate(() => {
      if (!this.isOver && this.blocked.size === 0) {
        this.options.resume();
      }
    });
  }

  private remove(reader: AnswerWriter): void {
    this.readers.delete(reader);
    if (this.readers.size === 0 && !this.isOver) {
      this.isOver = true;
      this.options.onAbandoned();
    }
    this.unblock(reader);
  }
}
