/** Splits what a caller receives into answers as it comes, by their framing alone, and holds none of their bodies. */

const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';
/** Bytes of a body of which its read is known. */
const MARK_BYTES = 64;

export type Framing = 'length' | 'chunks' | 'connection';

export interface SplitAnswer {
  readonly status: number;
  readonly framing: Framing;
  /** Beginning of the body. */
  readonly mark: string;
  readonly bodyBytes: number;
  /** Whether all behind the first space of the body is the filler. */
  readonly isPure: boolean;
}

export const FILLER = 'x'.charCodeAt(0);
const FILL = Buffer.alloc(64 * 1024, FILLER);

type Step = (bytes: Buffer) => Buffer;

export class AnswerSplitter {
  readonly #onWhole: (answer: SplitAnswer) => void;
  /** Of a head, or of a line between chunks. */
  #line: Buffer = Buffer.alloc(0);
  #step: Step = (bytes) => this.#readHead(bytes);
  #status = 0;
  #framing: Framing = 'length';
  #mark = '';
  #bodyBytes = 0;
  #isPure = true;
  #leftBytes = 0;

  constructor(onWhole: (answer: SplitAnswer) => void) {
    this.#onWhole = onWhole;
  }

  /** An answer whose head came and that isn't whole; `null`: none. */
  get open(): SplitAnswer | null {
    return this.#status === 0 ? null : this.#answer();
  }

  add(bytes: Buffer): void {
    let rest = bytes;
    while (rest.length > 0) {
      rest = this.#step(rest);
    }
  }

  #readHead(bytes: Buffer): Buffer {
    const taken = this.#takeUpTo(HEAD_END, bytes);
    if (taken === null) {
      return Buffer.alloc(0);
    }
    const [head, rest] = taken;
    this.#status = Number(head.slice(9, 12));
    this.#mark = '';
    this.#bodyBytes = 0;
    this.#isPure = true;
    this.#startBody(head);
    return rest;
  }

  #startBody(head: string): void {
    const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
    if (/\r\ntransfer-encoding: chunked/i.test(head)) {
      this.#framing = 'chunks';
      this.#step = (bytes) => this.#readSize(bytes);
    } else if (length === undefined) {
      this.#framing = 'connection';
      this.#leftBytes = Number.POSITIVE_INFINITY;
      this.#step = (bytes) => this.#readBody(bytes, () => {});
    } else {
      this.#framing = 'length';
      this.#leftBytes = Number(length);
      this.#step = (bytes) => this.#readBody(bytes, () => this.#end());
      if (this.#leftBytes === 0) {
        this.#end();
      }
    }
  }

  #readSize(bytes: Buffer): Buffer {
    const taken = this.#takeUpTo(LINE_END, bytes);
    if (taken === null) {
      return Buffer.alloc(0);
    }
    const [line, rest] = taken;
    this.#leftBytes = Number.parseInt(line, 16);
    this.#step =
      this.#leftBytes === 0
        ? (more) => this.#readLineEnd(more, () => this.#end())
        : (more) => this.#readBody(more, () => this.#endChunk());
    return rest;
  }

  #endChunk(): void {
    this.#step = (more) =>
      this.#readLineEnd(more, () => {
        this.#step = (next) => this.#readSize(next);
      });
  }

  #readLineEnd(bytes: Buffer, then: () => void): Buffer {
    const taken = this.#takeUpTo(LINE_END, bytes);
    if (taken === null) {
      return Buffer.alloc(0);
    }
    then();
    return taken[1];
  }

  #readBody(bytes: Buffer, then: () => void): Buffer {
    const part = bytes.subarray(0, Math.min(bytes.length, this.#leftBytes));
    this.#look(part);
    this.#leftBytes -= part.length;
    if (this.#leftBytes === 0) {
      then();
    }
    return bytes.subarray(part.length);
  }

  #look(part: Buffer): void {
    const marked = Math.min(part.length, Math.max(0, MARK_BYTES - this.#bodyBytes));
    this.#mark += part.toString('latin1', 0, marked);
    this.#bodyBytes += part.length;
    for (let at = marked; at < part.length; at += FILL.length) {
      const piece = part.subarray(at, at + FILL.length);
      this.#isPure &&= piece.equals(FILL.subarray(0, piece.length));
    }
  }

  #end(): void {
    const answer = this.#answer();
    this.#status = 0;
    this.#step = (bytes) => this.#readHead(bytes);
    this.#onWhole(answer);
  }

  #answer(): SplitAnswer {
    const [status, framing, bodyBytes, mark] = [this.#status, this.#framing, this.#bodyBytes, this.#mark];
    return { status, framing, bodyBytes, isPure: this.#isPure, mark: mark.split(' ')[0] ?? '' };
  }

  /** Text up to `end` and what comes behind it; `null` if it hasn't come yet. */
  #takeUpTo(end: string, bytes: Buffer): [string, Buffer] | null {
    const all = Buffer.concat([this.#line, bytes]);
    const at = all.indexOf(end);
    if (at === -1) {
      this.#line = all;
      return null;
    }
    this.#line = Buffer.alloc(0);
    return [all.toString('latin1', 0, at), all.subarray(at + end.length)];
  }
}
