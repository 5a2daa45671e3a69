/** Bodies of stand-in answers: they identify their request, and their length and checksum reveal missing data. */
import { crc32 } from 'node:zlib';

/** Header with the caller's id of a request whose target must equal that of identical requests. */
export const CALLER_REQUEST_HEADER = 'x-request-id';

/** Body of each answer of a stand-in upstream. */
export interface AnswerBody {
  readonly request: string;
  readonly key: string | null;
  readonly upstream: string;
  readonly payloadLength: number;
  readonly payloadCrc: number;
  readonly payload: string;
}

const PAYLOAD_PATTERN = 'abcdefghijklmnopqrstuvwxyz0123456789';

/** Returns the answer to `request` with `payloadLength` characters of payload. */
export function makeAnswerBody(
  request: string,
  key: string | null,
  upstream: string,
  payloadLength: number,
): string {
  const seed = `${request}|${key ?? ''}|${PAYLOAD_PATTERN}`;
  const payload = seed.repeat(Math.ceil(payloadLength / seed.length)).slice(0, payloadLength);
  const body: AnswerBody = { request, key, upstream, payloadLength, payloadCrc: crc32(payload), payload };
  return JSON.stringify(body);
}

/** Result of checking a body that was received as complete. */
export type BodyVerdict = 'whole' | 'damaged' | 'foreign';

/** Checks whether `text` is the whole answer to `request`, or to any request for `key` if `request` is `null`. */
export function judgeAnswerBody(text: string, request: string | null, key: string | null): BodyVerdict {
  let body: AnswerBody;
  try {
    body = JSON.parse(text) as AnswerBody;
  } catch {
    return 'damaged';
  }
  if (typeof body.payload !== 'string' || body.payload.length !== body.payloadLength) {
    return 'damaged';
  }
  if (crc32(body.payload) !== body.payloadCrc) {
    return 'damaged';
  }
  const sameRequest = request === null || body.request === request;
  return sameRequest && body.key === key ? 'whole' : 'foreign';
}

/** Returns the upstream that wrote a whole answer. */
export function upstreamOfAnswerBody(text: string): string {
  return (JSON.parse(text) as AnswerBody).upstream;
}
