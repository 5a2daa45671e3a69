/** Answers that the fence gives in place of the handler. Each says that the request has not run. */
import type { ServerResponse } from 'node:http';
import type { FenceRefusal } from '../lease/types.js';
import { HEADERS } from '../model/outcome.js';

const MISDIRECTED_REQUEST = 421;
const SERVICE_UNAVAILABLE = 503;
const BAD_REQUEST = 400;

/** Refusals that pass by themselves; the others mean that the request came to the wrong server. */
const PASSING: ReadonlySet<FenceRefusal> = new Set(['draining', 'overloaded']);

/** Writes a JSON body with its length. */
export function writeJson(response: ServerResponse, status: number, value: unknown): void {
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length });
  response.end(body);
}

/** Turns a request away before it has run. */
export function writeRefusal(
  response: ServerResponse,
  refusal: FenceRefusal,
  retryAfterSeconds: number,
): void {
  response.setHeader(HEADERS.outcome, 'not-run');
  response.setHeader(HEADERS.reason, refusal);
  const passing = PASSING.has(refusal);
  if (passing) {
    response.setHeader('retry-after', retryAfterSeconds);
  }
  const status = passing ? SERVICE_UNAVAILABLE : MISDIRECTED_REQUEST;
  writeJson(response, status, { outcome: 'not-run', reason: refusal });
}

/** Turns away a request whose headers make no sense. */
export function writeMalformed(response: ServerResponse, message: string): void {
  response.setHeader(HEADERS.outcome, 'not-run');
  response.setHeader(HEADERS.reason, 'malformed');
  writeJson(response, BAD_REQUEST, { outcome: 'not-run', reason: 'malformed', message });
}
