/** A minimal upstream: answers each request immediately with a fixed number of bytes and the router's request id. */
import type { RequestListener } from 'node:http';
import { HEADERS } from '../../../model/outcome.js';

const OK = 200;

export function createPlainUpstream(answerBytes: number): RequestListener {
  const body = Buffer.alloc(answerBytes, 'x');
  const length = String(body.length);
  return (request, response) => {
    const headers = ['content-type', 'application/octet-stream', 'content-length', length, HEADERS.load, '0'];
    const requestId = request.headers[HEADERS.requestId];
    if (typeof requestId === 'string') {
      headers.push(HEADERS.requestId, requestId);
    }
    response.writeHead(OK, headers);
    response.end(body);
  };
}
