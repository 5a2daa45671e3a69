/** Parses headers and query of a change: precondition, request id, and whether to wait. */
import { randomUUID } from 'node:crypto';
import type { Revision } from '../../model/identifiers.js';
import { HEADERS } from '../../model/outcome.js';
import type { AdminContext } from './admin-context.js';
import { AdminError } from './admin-error.js';

const ETAG_PATTERN = /^"(\d{1,15})"$/;
const REQUEST_ID_PATTERN = /^[\x21-\x7e]{1,128}$/;

/** Formats a revision as an ETag. */
export function formatEtag(revision: Revision): string {
  return `"${revision}"`;
}

/**
 * Returns the revision that a change expects: 12 for `If-Match: "12"`, 0 (must not exist) for `If-None-Match: *`, and
 * `null` (any) without both. Throws `AdminError`.
 */
export function readExpected(context: AdminContext): Revision | null {
  const match = context.get('If-Match');
  const noneMatch = context.get('If-None-Match');
  if (match !== '' && noneMatch !== '') {
    throw new AdminError('invalid-request', 'If-Match and If-None-Match exclude each other');
  }
  if (noneMatch !== '') {
    if (noneMatch !== '*') {
      throw new AdminError('invalid-request', 'If-None-Match must be *');
    }
    return 0;
  }
  if (match === '') {
    return null;
  }
  const revision = Number(ETAG_PATTERN.exec(match)?.[1] ?? 0);
  if (revision === 0) {
    throw new AdminError('invalid-request', 'If-Match must be one revision in double quotes, e.g. "12"');
  }
  return revision;
}

/** Returns the request id of the client or a new one, and sets it on the response. Throws `AdminError`. */
export function readRequestId(context: AdminContext): string {
  const received = context.get(HEADERS.requestId);
  if (received !== '' && !REQUEST_ID_PATTERN.test(received)) {
    const message = `${HEADERS.requestId} must be 1 to 128 printable characters without spaces`;
    throw new AdminError('invalid-request', message);
  }
  const requestId = received === '' ? randomUUID() : received;
  context.set(HEADERS.requestId, requestId);
  return requestId;
}

/** With `?wait=false` the response is sent once the change is committed; the default waits until all routers apply it. */
export function readWait(context: AdminContext): boolean {
  const { wait } = context.query;
  if (wait === undefined || wait === 'true') {
    return true;
  }
  if (wait === 'false') {
    return false;
  }
  throw new AdminError('invalid-request', 'wait must be true or false');
}
