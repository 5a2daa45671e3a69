/**
 * An answer streamed from an upstream to one or more callers. If the upstream's connection breaks, the callers' connections
 * are closed too, so that none of them takes a partial answer for the whole. An answer has a time to end in, which doesn't count while
 * a caller's buffer is full: a faulty upstream may send without end, and a slow caller still gets what its upstream had made in time. How much
 * that may be is bounded.
 */
import type { AnswerWriter } from '../caller/answer-writer.js';
import { StreamLimit } from './stream-limit.js';

export interface AnswerStreamOptions {
  /** Whether the answer names its length. */
  readonly hasLength: boolean;
  /** Resumes reading from the upstream. */
  readonly resume: () => void;
  /** Called when no caller is left. */
  readonly onAbandoned: () => void;
  /** Called when the answer hasn't ended in its time. */
  readonly onEndless: () => void;
}

export class AnswerStream {
  private readonly readers = new Set<AnswerWriter>();
  /** Callers whose buffers are full. */
  private readonly blocked = new Set<AnswerWriter>();
  private started = false;
  private isOver = false;
  /** Whether the answer was received whole before the stream started. */
  private endsAtStart = false;
  private leftMillis = 0;
  private limit: StreamLimit | null = null;
  private readingSince: number | null = null;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: AnswerStreamOptions) {}

  /** Whether parts of the answer go to its callers. */
  get hasStarted(): boolean {
    return this.started;
  }

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

  /** Writes the chunks read so far, then resumes reading for at most `millis`. */
  start(chunks: readonly Buffer[], millis: number): void {
    if (this.started || this.isOver) {
      return;
    }
    if (this.readers.size === 0) {
      this.isOver = true;
      this.options.onAbandoned();
      return;
    }
    this.started = true;
    this.leftMillis = millis;
    const { hasLength } = this.options;
    this.limit = new StreamLimit({ endsAt: performance.now() + millis, hasLength });
    for (const chunk of chunks) {
      this.write(chunk);
    }
    if (this.endsAtStart) {
      this.end();
      return;
    }
    for (const reader of this.readers) {
      if (!reader.isWritable()) {
        this.blocked.add(reader);
      }
    }
    if (this.blocked.size === 0) {
      this.startTime();
      this.resume();
    }
  }

  /** Returns `false` if the buffer of any caller is full. */
  write(chunk: Buffer): boolean {
    if (this.isOver) {
      return true;
    }
    if (this.limit?.take(chunk.length, performance.now()) === false) {
      this.endLate();
      return true;
    }
    for (const reader of this.readers) {
      if (!reader.write(chunk)) {
        this.blocked.add(reader);
        this.stopTime();
      }
    }
    return this.blocked.size === 0;
  }

  /** Called when the answer was received whole. */
  end(): void {
    if (!this.started) {
      this.endsAtStart = true;
      return;
    }
    this.finish();
    for (const reader of this.readers) {
      reader.end();
    }
  }

  breakOff(): void {
    this.finish();
    for (const reader of this.readers) {
      reader.abort();
    }
  }

  private endLate(): void {
    this.breakOff();
    this.options.onEndless();
  }

  private unblock(reader: AnswerWriter): void {
    if (this.blocked.delete(reader) && this.blocked.size === 0) {
      this.startTime();
      this.resume();
    }
  }

  private startTime(): void {
    if (this.started && !this.isOver && this.readingSince === null) {
      this.readingSince = performance.now();
      this.timer = setTimeout(() => this.endLate(), this.leftMillis);
    }
  }

  private stopTime(): void {
    if (this.readingSince !== null) {
      clearTimeout(this.timer);
      this.leftMillis = Math.max(0, this.leftMillis - (performance.now() - this.readingSince));
      this.readingSince = null;
    }
  }

  private finish(): void {
    this.stopTime();
    this.isOver = true;
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
      this.finish();
      this.options.onAbandoned();
    }
    this.unblock(reader);
  }
}
