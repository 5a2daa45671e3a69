/**
 * Reads the destination of a request. With declared routes, host and path determine it. Otherwise the path is
 * `/<service>/...`; for keyed services the key is the header `ternmount-key` (percent-encoded) or else the second segment of
 * the path. Path and query are forwarded to the upstream unchanged.
 */
import type { IncomingMessage } from 'node:http';
import type { HeaderNames } from '../../model/header-names.js';
import type { ServiceName } from '../../model/identifiers.js';
import { countHeader } from './header-rules.js';
import { type IdempotencyHead, readIdempotency } from './idempotency.js';
import { BadRequestError } from './rejected-request-errors.js';

export interface CallerRequestHead {
  readonly method: string;
  readonly target: string;
  /** Host and path without query, for declared routes; `null` if the request is addressed to `service`. */
  readonly place: { readonly host: string; readonly path: string } | null;
  /** The caller's id of the request. */
  readonly requestId: string | null;
  readonly service: ServiceName;
  readonly key: string | null;
  /** Time that the caller waits for an answer. */
  readonly deadlineMillis: number | null;
  readonly idempotency: IdempotencyHead | null;
}

const MAX_DEADLINE_MILLIS = 86_400_000;
const MAX_KEY_LENGTH = 1024;
const VISIBLE_ASCII = /^[\x21-\x7e]+$/;

/** How requests are addressed. */
export interface AddressingOptions {
  /** Whether declared routes determine the destination of a request. */
  readonly byRoutes: boolean;
  readonly headers: HeaderNames;
}

/** Throws `BadRequestError`. */
export function readCallerRequest(request: IncomingMessage, options: AddressingOptions): CallerRequestHead {
  checkHost(request);
  const target = request.url ?? '';
  if (!target.startsWith('/')) {
    throw new BadRequestError('the request target must be a path');
  }
  return options.byRoutes
    ? readRoutedRequest(request, target, options.headers)
    : readServiceRequest(request, target, options.headers);
}

function readRoutedRequest(request: IncomingMessage, target: string, names: HeaderNames): CallerRequestHead {
  const { headers, method = 'GET' } = request;
  const queryStart = target.indexOf('?');
  const path = queryStart === -1 ? target : target.slice(0, queryStart);
  const key = headers[names.key];
  return {
    method,
    target,
    place: { host: headers.host ?? '', path },
    requestId: nonEmptyText(headers[names.requestId]),
    service: '',
    key: typeof key === 'string' ? key : null,
    deadlineMillis: readDeadline(names.deadline, headers[names.deadline]),
    idempotency: null,
  };
}

function nonEmptyText(header: string | string[] | undefined): string | null {
  return typeof header === 'string' && header !== '' ? header : null;
}

function readServiceRequest(request: IncomingMessage, target: string, names: HeaderNames): CallerRequestHead {
  const [service, pathKey] = leadingSegments(target);
  if (service === '') {
    throw new BadRequestError('the path must be /<service>/...');
  }
  return {
    method: request.method ?? 'GET',
    target,
    place: null,
    requestId: null,
    service: decode(service, 'service'),
    key: readKey(request.headers[names.key], pathKey),
    deadlineMillis: readDeadline(names.deadline, request.headers[names.deadline]),
    idempotency: readIdempotency(request.headers),
  };
}

/** Checks for exactly one Host header (RFC 9112, 3.2). Two can't be forwarded: the failure would be attributed to the upstream. */
function checkHost({ httpVersion, headers, rawHeaders }: IncomingMessage): void {
  if (headers.host === undefined && httpVersion !== '1.0') {
    throw new BadRequestError('the Host header is missing');
  }
  if (countHeader(rawHeaders, 'host') > 1) {
    throw new BadRequestError('there is more than one Host header');
  }
}

/** Returns the first two segments of the path, still encoded. */
function leadingSegments(target: string): readonly [string, string | undefined] {
  const queryStart = target.indexOf('?');
  const pathEnd = queryStart === -1 ? target.length : queryStart;
  const firstEnd = segmentEnd(target, 1, pathEnd);
  const first = target.slice(1, firstEnd);
  if (firstEnd === pathEnd) {
    return [first, undefined];
  }
  return [first, target.slice(firstEnd + 1, segmentEnd(target, firstEnd + 1, pathEnd))];
}

function segmentEnd(target: string, start: number, pathEnd: number): number {
  const slash = target.indexOf('/', start);
  return slash === -1 || slash > pathEnd ? pathEnd : slash;
}

function readKey(header: string | string[] | undefined, pathKey: string | undefined): string | null {
  const encoded = typeof header === 'string' ? header : pathKey;
  if (encoded === undefined || encoded === '') {
    return null;
  }
  const key = decode(encoded, 'key');
  if (key.length > MAX_KEY_LENGTH) {
    throw new BadRequestError(`the key is above ${MAX_KEY_LENGTH} characters`);
  }
  return key;
}

function readDeadline(name: string, value: string | string[] | undefined): number | null {
  if (value === undefined) {
    return null;
  }
  const millis = Number(value);
  if (!Number.isInteger(millis) || millis < 1 || millis > MAX_DEADLINE_MILLIS) {
    throw new BadRequestError(`${name} must be 1 to ${MAX_DEADLINE_MILLIS}`);
  }
  return millis;
}

function decode(encoded: string, part: string): string {
  if (!VISIBLE_ASCII.test(encoded)) {
    throw new BadRequestError(`the ${part} must be percent-encoded`);
  }
  if (!encoded.includes('%')) {
    return encoded;
  }
  try {
    return decodeURIComponent(encoded);
  } catch {
    throw new BadRequestError(`the ${part} is no percent-encoded UTF-8`);
  }
}
