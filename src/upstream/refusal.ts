/** Responses that the fence sends instead of the handler. Each states that the request has not run. */
import type { ServerResponse } from 'node:http';
import type { FenceRefusal } from '../lease/types.js';
import { HEADERS } from '../model/outcome.js';

const MISDIRECTED_REQUEST = 421;
const SERVICE_UNAVAILABLE = 503;
const BAD_REQUEST = 400;

/** Refusals for a temporary condition; with the others, this run isn't the addressed one, or holds no such shard, epoch or key. */
const TEMPORARY_REFUSALS: ReadonlySet<FenceRefusal> = new Set(['draining', 'overloaded']);

/** Sends a JSON body with its length. */
export function writeJson(response: ServerResponse, status: number, value: unknown): void {
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length });
  response.end(body);
}

/** Refuses a request before it has run. */
export function writeRefusal(
  response: ServerResponse,
  refusal: FenceRefusal,
  retryAfterSeconds: number,
): void {
  response.setHeader(HEADERS.outcome, 'not-run');
  response.setHeader(HEADERS.reason, refusal);
  const isTemporary = TEMPORARY_REFUSALS.has(refusal);
  if (isTemporary) {
    response.setHeader('retry-after', retryAfterSeconds);
  }
  const status = isTemporary ? SERVICE_UNAVAILABLE : MISDIRECTED_REQUEST;
  writeJson(response, status, { outcome: 'not-run', reason: refusal });
}

/** Refuses a request with malformed headers. */
export function writeMalformed(response: ServerResponse, message: string): void {
  response.setHeader(HEADERS.outcome, 'not-run');
  response.setHeader(HEADERS.reason, 'malformed');
  writeJson(response, BAD_REQUEST, { outcome: 'not-run', reason: 'malformed', message });
}
