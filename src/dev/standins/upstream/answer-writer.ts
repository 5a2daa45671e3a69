/** Writes answers of a stand-in upstream, complete or damaged by a fault. */
import type { ServerResponse } from 'node:http';
import { HEADERS } from '../../../model/outcome.js';
import type { AnswerFaultKind } from './fault-switchboard.js';

const OK = 200;
const INTERNAL_SERVER_ERROR = 500;
const MISDIRECTED_REQUEST = 421;
/** Bytes by which a wrong Content-Length exceeds the body. */
const MISSING_BYTES = 64;
/** Exceeds the time that any caller waits. */
const LATE_MILLIS = 5000;

/** An answer and the id of its request; `null` if the request had none. */
export interface IdentifiedAnswer {
  readonly requestId: string | null;
  readonly body: string;
}

/** Writes an answer whose status means that the request ran. `previous` is the answer to the preceding request. */
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

/** Writes the rejection of a request that the fence did not allow to take effect. */
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
