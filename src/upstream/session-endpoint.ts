/** `POST /ternmount/v1/session`, which receives the control leader's messages. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { toError } from '../errors/ternmount-error.js';
import type { SessionAnswer, SessionRequest } from '../lease/types.js';
import { HEADERS } from '../model/outcome.js';
import { isSessionProof } from '../wire/session/session-proof.js';
import { sessionRequestSchema } from '../wire/session/session-schema.js';
import { writeJson } from './refusal.js';

const MAX_BODY_BYTES = 8 * 1024 * 1024;
const OK = 200;
const BAD_REQUEST = 400;
const UNAUTHORIZED = 401;
const METHOD_NOT_ALLOWED = 405;
const PAYLOAD_TOO_LARGE = 413;

/** Dependencies of the endpoint. */
export interface SessionEndpoint {
  /** The cluster's secret, which messages must prove; `null` if no proof is required. */
  readonly secret: string | null;
  readonly handle: (message: SessionRequest) => SessionAnswer;
}

/** Reads one message and responds with the result of `handle`. A malformed or unproved message has no effect. */
export function serveSession(
  request: IncomingMessage,
  response: ServerResponse,
  endpoint: SessionEndpoint,
): void {
  if (request.method !== 'POST') {
    response.setHeader('allow', 'POST');
    writeJson(response, METHOD_NOT_ALLOWED, { message: 'use POST' });
    return;
  }
  const chunks: Buffer[] = [];
  let size = 0;
  request.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size <= MAX_BODY_BYTES) {
      chunks.push(chunk);
    }
  });
  request.on('end', () => {
    if (size > MAX_BODY_BYTES) {
      const message = `body of ${size} bytes is above ${MAX_BODY_BYTES} bytes`;
      writeJson(response, PAYLOAD_TOO_LARGE, { message });
      return;
    }
    const body = Buffer.concat(chunks);
    if (hasValidProof(request, body, endpoint.secret)) {
      answer(response, body, endpoint.handle);
    } else {
      writeJson(response, UNAUTHORIZED, { message: `${HEADERS.sessionProof} is missing or wrong` });
    }
  });
}

function hasValidProof(request: IncomingMessage, body: Buffer, secret: string | null): boolean {
  const proof = request.headers[HEADERS.sessionProof];
  return secret === null || (typeof proof === 'string' && isSessionProof(secret, body, proof));
}

function answer(
  response: ServerResponse,
  body: Buffer,
  handle: (message: SessionRequest) => SessionAnswer,
): void {
  let message: SessionRequest;
  try {
    message = sessionRequestSchema.parse(JSON.parse(body.toString('utf8')));
  } catch (thrown) {
    writeJson(response, BAD_REQUEST, { message: toError(thrown).message });
    return;
  }
  writeJson(response, OK, handle(message));
}
