/** The copy of an answer that the ledger stores for resends. */
import type { StoredAnswer } from '../../ledger/types.js';
import { findHeader } from '../caller/header-rules.js';

/** `body` is `null` if the answer is streamed. Streamed bodies and bodies above `maxBytes` aren't stored. */
export function storedAnswerOf(
  status: number,
  headers: readonly string[],
  body: Buffer | null,
  maxBytes: number,
): StoredAnswer {
  const contentType = findHeader(headers, 'content-type') ?? '';
  const isStored = body !== null && body.length <= maxBytes;
  return { status, contentType, body: isStored ? body.toString('base64') : '', truncated: !isStored };
}
