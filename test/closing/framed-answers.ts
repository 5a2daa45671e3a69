/** Splits what a caller received into answers, by their framing alone; a body begins with the id of its read. */

const HEAD_END = '\r\n\r\n';
const OK = 200;

interface Head {
  readonly status: number;
  readonly length: number | null;
}

export class FramedAnswers {
  readonly statuses: number[] = [];
  readonly wholeIds: string[] = [];
  #received = '';

  add(bytes: Buffer): void {
    this.#received += bytes.toString('latin1');
    while (this.#takeOne()) {
      // Until the rest is a part.
    }
  }

  /** Returns whether an answer was taken. */
  #takeOne(): boolean {
    const end = this.#received.indexOf(HEAD_END);
    if (end === -1) {
      return false;
    }
    const { status, length } = parseHead(this.#received.slice(0, end));
    const start = end + HEAD_END.length;
    const taken =
      length === null ? takeChunks(this.#received, start) : takeLength(this.#received, start, length);
    if (taken === null) {
      return false;
    }
    this.#received = this.#received.slice(taken.end);
    this.statuses.push(status);
    if (status === OK) {
      this.wholeIds.push(taken.body.slice(0, taken.body.indexOf(' ')));
    }
    return true;
  }
}

function parseHead(head: string): Head {
  const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
  return { status: Number(head.slice(9, 12)), length: length === undefined ? null : Number(length) };
}

interface Taken {
  readonly body: string;
  readonly end: number;
}

function takeLength(text: string, start: number, length: number): Taken | null {
  const end = start + length;
  return text.length < end ? null : { body: text.slice(start, end), end };
}

function takeChunks(text: string, start: number): Taken | null {
  let body = '';
  for (let position = start; ; ) {
    const lineEnd = text.indexOf('\r\n', position);
    if (lineEnd === -1) {
      return null;
    }
    const size = Number.parseInt(text.slice(position, lineEnd), 16);
    const end = lineEnd + 2 + size + 2;
    if (text.length < end) {
      return null;
    }
    if (size === 0) {
      return { body, end };
    }
    body += text.slice(lineEnd + 2, end - 2);
    position = end;
  }
}
