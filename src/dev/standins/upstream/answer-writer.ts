/** Writes answers of a stand-in upstream, whole or spoiled by a fault. */
import type { ServerResponse } from 'node:http';
import { HEADERS } from '../../../model/outcome.js';
import type { AnswerFaultKind } from './fault-switchboard.js';

const OK = 200;
const INTERNAL_SERVER_ERROR = 500;
const MISDIRECTED_REQUEST = 421;
/** Bytes that a too large Content-Length promises and nobody sends. */
const MISSING_BYTES = 64;
/** Longer than any caller waits. */
const LATE_MILLIS = 5000;

/** An answer and the id of the request that it belongs to; `null`: the request had none. */
export interface IdentifiedAnswer {
  readonly requestId: string | null;
  readonly body: string;
}

/** Answers whose status tells the router that the request ran. `previous` is the answer to the request before. */
export function writeAnswer(
  response: ServerResponse,
  body: string,
  fault: AnswerFaultKind | null,
  previous: IdentifiedAnswer,
): void {
  if (response.destroyed) {
    return;
  }
  const length = Buffer.byteLength(body);
  switch (fault) {
    case null:
      writeHead(response, OK, length);
      response.end(body);
      return;
    case 'truncate':
      writeHead(response, OK, length);
      response.write(body.slice(0, body.length >> 1), () => response.destroy());
      return;
    case 'wrong-length':
      writeHead(response, OK, length + MISSING_BYTES);
      response.write(body);
      return;
    case 'answer-twice':
      writeHead(response, OK, length);
      response.end(body);
      response.socket?.write(`HTTP/1.1 200 OK\r\ncontent-length: ${length}\r\n\r\n${body}`);
      return;
    case 'late':
      setTimeout(() => writeAnswer(response, body, null, previous), LATE_MILLIS).unref();
      return;
    case 'foreign':
      writeForeign(response, previous);
      return;
    case 'fail':
      writeHead(response, INTERNAL_SERVER_ERROR, 0);
      response.end();
      return;
    case 'stall':
      return;
  }
}

function writeForeign(response: ServerResponse, { requestId, body }: IdentifiedAnswer): void {
  response.setHeader(HEADERS.requestId, requestId ?? 'none');
  writeHead(response, OK, Buffer.byteLength(body));
  response.end(body);
}

/** The fence said at the point of effect that the request must not take effect. */
export function writeFenced(response: ServerResponse): void {
  if (response.headersSent || response.destroyed) {
    return;
  }
  response.setHeader(HEADERS.outcome, 'not-run');
  response.setHeader(HEADERS.reason, 'lease-over');
  writeHead(response, MISDIRECTED_REQUEST, 0);
  response.end();
}

function writeHead(response: ServerResponse, status: number, length: number): void {
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': length });
}
