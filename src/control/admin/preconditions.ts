/** Headers and query of a change: its precondition, its request id, and whether to wait. */
import { randomUUID } from 'node:crypto';
import type { Revision } from '../../model/identifiers.js';
import { HEADERS } from '../../model/outcome.js';
import type { AdminContext } from './admin-context.js';
import { AdminError } from './admin-error.js';

const ETAG_PATTERN = /^"(\d{1,15})"$/;
const REQUEST_ID_PATTERN = /^[\x21-\x7e]{1,128}$/;

/** Writes a revision as an ETag. */
export function formatEtag(revision: Revision): string {
  return `"${revision}"`;
}

/**
 * The revision which a change expects: `If-Match: "12"` is 12, `If-None-Match: *` is 0 (must not exist), neither is
 * `null` (any). Throws `AdminError`.
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

/** The request id, made here if the operator gave none; the answer carries it. Throws `AdminError`. */
export function readRequestId(context: AdminContext): string {
  const given = context.get(HEADERS.requestId);
  if (given !== '' && !REQUEST_ID_PATTERN.test(given)) {
    const message = `${HEADERS.requestId} must be 1 to 128 printable characters without spaces`;
    throw new AdminError('invalid-request', message);
  }
  const requestId = given === '' ? randomUUID() : given;
  context.set(HEADERS.requestId, requestId);
  return requestId;
}

/** `?wait=false` answers once the change is agreed on; the default waits until it is in force everywhere. */
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
