/** The copy of an answer that the ledger keeps for resends. */
import type { StoredAnswer } from '../../ledger/types.js';
import { findHeader } from '../caller/header-rules.js';

/** `body` is `null` if the answer is streamed; it isn't kept then, and neither is one above `maxBytes`. */
export function storedAnswerOf(
  status: number,
  headers: readonly string[],
  body: Buffer | null,
  maxBytes: number,
): StoredAnswer {
  const contentType = findHeader(headers, 'content-type') ?? '';
  const kept = body !== null && body.length <= maxBytes;
  return { status, contentType, body: kept ? body.toString('base64') : '', truncated: !kept };
}
