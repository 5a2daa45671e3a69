/** Writes answers of a stand-in upstream, whole or spoiled by a fault. */
import type { ServerResponse } from 'node:http';
import { HEADERS } from '../../../model/outcome.js';
import type { FaultKind } from './fault-switchboard.js';

const OK = 200;
const INTERNAL_SERVER_ERROR = 500;
const MISDIRECTED_REQUEST = 421;
/** Bytes that a too large Content-Length promises and nobody sends. */
const MISSING_BYTES = 64;

/** Answers whose status tells the router that the request ran. */
export function writeAnswer(response: ServerResponse, body: string, fault: FaultKind | null): void {
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
    case 'fail':
      writeHead(response, INTERNAL_SERVER_ERROR, 0);
      response.end();
      return;
    case 'stall':
      return;
  }
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
