/** A caller that sends several requests on one connection, and judges by their framing alone which answers are whole. */
import { connect } from 'node:net';
import { parseAddress } from '../../src/wire/address.js';

const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';

/** An answer whose head was received. */
export interface FramedAnswer {
  readonly status: number;
  /** `connection`: its end is that of the connection. */
  readonly framing: 'length' | 'chunks' | 'connection';
  readonly body: Buffer;
  readonly isWhole: boolean;
}

export type HttpVersion = '1.0' | '1.1';

export interface PipelinedRequest {
  readonly path: string;
  readonly id: string;
  readonly deadlineMillis: number;
  /** Sent with POST; the request is a GET without it. */
  readonly body?: Buffer;
}

/** Sends requests at once and reads until all are answered whole or the connection ends. */
export function callPipelined(
  address: string,
  requests: readonly PipelinedRequest[],
  version: HttpVersion = '1.1',
): Promise<FramedAnswer[]> {
  return new Promise((resolve) => {
    const received: Buffer[] = [];
    const socket = connect(parseAddress(address));
    const end = (): void => {
      socket.destroy();
      resolve(parseAnswers(Buffer.concat(received)));
    };
    socket.on('data', (bytes) => {
      received.push(bytes);
      const answers = parseAnswers(Buffer.concat(received));
      if (answers.filter(({ isWhole }) => isWhole).length === requests.length) {
        end();
      }
    });
    socket.on('error', () => {});
    socket.on('close', end);
    for (const request of requests) {
      socket.write(headOf(request, version));
      socket.write(request.body ?? '');
    }
  });
}

function headOf({ path, id, deadlineMillis, body }: PipelinedRequest, version: HttpVersion): string {
  const fields = [
    'host: menu.example',
    `ternmount-request-id: ${id}`,
    `ternmount-deadline-ms: ${deadlineMillis}`,
    ...(body === undefined ? [] : [`content-length: ${body.length}`]),
  ];
  const method = body === undefined ? 'GET' : 'POST';
  return [`${method} ${path} HTTP/${version}`, ...fields, '', ''].join(LINE_END);
}

function parseAnswers(bytes: Buffer): FramedAnswer[] {
  const answers: FramedAnswer[] = [];
  let at = 0;
  while (at < bytes.length) {
    const headEnd = bytes.indexOf(HEAD_END, at);
    if (headEnd === -1) {
      return answers;
    }
    const head = bytes.subarray(at, headEnd).toString('latin1');
    const body = parseBody(bytes, headEnd + HEAD_END.length, head);
    answers.push({ status: Number(head.slice(9, 12)), ...body });
    at = body.end;
  }
  return answers;
}

type ParsedBody = Pick<FramedAnswer, 'framing' | 'body' | 'isWhole'> & { readonly end: number };

function parseBody(bytes: Buffer, start: number, head: string): ParsedBody {
  if (/transfer-encoding: chunked/i.test(head)) {
    return parseChunks(bytes, start);
  }
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  if (length === undefined) {
    return { framing: 'connection', body: bytes.subarray(start), isWhole: false, end: bytes.length };
  }
  const end = start + Number(length);
  return { framing: 'length', body: bytes.subarray(start, end), isWhole: end <= bytes.length, end };
}

function parseChunks(bytes: Buffer, start: number): ParsedBody {
  const parts: Buffer[] = [];
  let at = start;
  for (;;) {
    const lineEnd = bytes.indexOf(LINE_END, at);
    const size = lineEnd === -1 ? Number.NaN : Number.parseInt(bytes.subarray(at, lineEnd).toString(), 16);
    const dataStart = lineEnd + LINE_END.length;
    const end = dataStart + size + LINE_END.length;
    if (Number.isNaN(size) || end > bytes.length) {
      return { framing: 'chunks', body: Buffer.concat(parts), isWhole: false, end: bytes.length };
    }
    if (size === 0) {
      return { framing: 'chunks', body: Buffer.concat(parts), isWhole: true, end };
    }
    parts.push(bytes.subarray(dataStart, dataStart + size));
    at = end;
  }
}
