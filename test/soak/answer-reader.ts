/** Splits what a caller received into answers, by their framing alone. */

export interface ReceivedAnswer {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
}

interface Framed {
  readonly body: Buffer;
  readonly end: number;
}

const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';
const FIRST_STATUS = 100;
const FIRST_FINAL_STATUS = 200;

export class AnswerReader {
  #received: Buffer = Buffer.alloc(0);

  /** Bytes of an answer that isn't whole. */
  get openBytes(): number {
    return this.#received.length;
  }

  /** Adds what was received; gives the answers that are whole by now. */
  add(bytes: Buffer): ReceivedAnswer[] {
    this.#received = Buffer.concat([this.#received, bytes]);
    const answers: ReceivedAnswer[] = [];
    for (let answer = this.#take(); answer !== null; answer = this.#take()) {
      const isInterim = answer.status >= FIRST_STATUS && answer.status < FIRST_FINAL_STATUS;
      if (!isInterim) {
        answers.push(answer);
      }
    }
    return answers;
  }

  #take(): ReceivedAnswer | null {
    const headEnd = this.#received.indexOf(HEAD_END);
    if (headEnd === -1) {
      return null;
    }
    const [first = '', ...lines] = this.#received.subarray(0, headEnd).toString('latin1').split(LINE_END);
    const headers = new Map(lines.map((line) => splitLine(line)));
    const start = headEnd + HEAD_END.length;
    const framed = headers.has('transfer-encoding')
      ? takeChunks(this.#received, start)
      : takeLength(this.#received, start, Number(headers.get('content-length') ?? 0));
    if (framed === null) {
      return null;
    }
    this.#received = this.#received.subarray(framed.end);
    const status = first.startsWith('HTTP/1.1 ') ? Number(first.slice(9, 12)) : Number.POSITIVE_INFINITY;
    return { status, headers, body: framed.body };
  }
}

function splitLine(line: string): [string, string] {
  const colon = line.indexOf(':');
  return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
}

function takeLength(bytes: Buffer, start: number, length: number): Framed | null {
  const end = start + length;
  return bytes.length < end ? null : { body: bytes.subarray(start, end), end };
}

function takeChunks(bytes: Buffer, start: number): Framed | null {
  const parts: Buffer[] = [];
  for (let at = start; ; ) {
    const lineEnd = bytes.indexOf(LINE_END, at);
    if (lineEnd === -1) {
      return null;
    }
    const size = Number.parseInt(bytes.subarray(at, lineEnd).toString(), 16);
    const from = lineEnd + LINE_END.length;
    const end = from + size + LINE_END.length;
    if (bytes.length < end) {
      return null;
    }
    if (size === 0) {
      return { body: Buffer.concat(parts), end };
    }
    parts.push(bytes.subarray(from, from + size));
    at = end;
  }
}
