/** Bodies of stand-in answers: they say whose answer they are, and their length and checksum show a missing piece. */
import { crc32 } from 'node:zlib';

/** Carries the caller's id of a request whose target must not differ from that of like requests. */
export const CALLER_REQUEST_HEADER = 'x-request-id';

/** What a stand-in upstream puts into each answer. */
export interface AnswerBody {
  readonly request: string;
  readonly key: string | null;
  readonly upstream: string;
  readonly payloadLength: number;
  readonly payloadCrc: number;
  readonly payload: string;
}

const PAYLOAD_PATTERN = 'abcdefghijklmnopqrstuvwxyz0123456789';

/** The answer to `request`, with `payloadLength` characters of payload. */
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

/** What a body taken for complete turns out to be. */
export type BodyVerdict = 'whole' | 'damaged' | 'foreign';

/** Checks that `text` is the whole answer to `request`, or to any request for `key` if that is `null`. */
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

/** Who wrote a whole answer. */
export function upstreamOfAnswerBody(text: string): string {
  return (JSON.parse(text) as AnswerBody).upstream;
}
