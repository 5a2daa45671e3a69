/** How a stand-in caller writes an attempt and reads what the answer says of it: addressed to a service, or to a declared route. */
import { DEFAULT_HEADER_NAMES } from '../../../model/header-names.js';
import { HEADERS, type Outcome } from '../../../model/outcome.js';
import { promisesNotRun } from '../../../routing/outcome-table.js';
import { CALLER_REQUEST_HEADER } from '../answer-body.js';

/** One attempt at a request. */
export interface Attempt {
  readonly service: string;
  readonly method: 'GET' | 'POST';
  readonly request: string;
  /** Id of this attempt; the request's other attempts have others. */
  readonly id: string;
  readonly key: string | null;
  readonly idempotencyKey: string | null;
  /** Whether the answer to an identical request for the same key is acceptable. */
  readonly coalesced: boolean;
  readonly deadlineMillis: number;
  /** Time after which the caller disconnects if there is no answer; `null`: it waits. */
  readonly leaveMillis: number | null;
}

export type HeaderValues = Record<string, string | string[] | undefined>;

export interface RequestForm {
  path(attempt: Attempt): string;
  headers(attempt: Attempt): Record<string, string>;
  /** What an answer says of the request, besides being its answer; `null`: nothing. */
  outcomeOf(attempt: Attempt, status: number, headers: HeaderValues): Outcome | null;
  /** The id under which upstreams record the attempt; `null` if it isn't known. */
  routerRequestOf(attempt: Attempt, headers: HeaderValues): string | null;
}

const FORMS = ['by-service', 'by-route'] as const;
export type RequestFormName = (typeof FORMS)[number];
export const REQUEST_FORM_NAMES = FORMS;

export const REQUEST_FORMS: Readonly<Record<RequestFormName, RequestForm>> = {
  'by-service': {
    path: pathOf,
    headers: (attempt) => ({
      [CALLER_REQUEST_HEADER]: attempt.request,
      [HEADERS.deadlineMillis]: deadlineOf(attempt),
      ...(attempt.idempotencyKey !== null && { [HEADERS.idempotencyKey]: attempt.idempotencyKey }),
      ...bodyHeaders(attempt),
    }),
    outcomeOf: (_attempt, _status, headers) => outcomeIn(headers),
    routerRequestOf: (_attempt, headers) => headerOf(headers, HEADERS.requestId),
  },
  'by-route': {
    path: pathOf,
    headers: (attempt) => ({
      host: hostOfRoute(attempt.service),
      [CALLER_REQUEST_HEADER]: attempt.request,
      [DEFAULT_HEADER_NAMES.requestId]: attempt.id,
      [DEFAULT_HEADER_NAMES.deadline]: deadlineOf(attempt),
      ...(attempt.key !== null && { [DEFAULT_HEADER_NAMES.key]: attempt.key }),
      ...bodyHeaders(attempt),
    }),
    // Of an order the status alone is a promise, whoever wrote it.
    outcomeOf: ({ method }, status, headers) =>
      method === 'POST' && promisesNotRun(status) ? 'not-run' : outcomeIn(headers),
    routerRequestOf: ({ id }) => id,
  },
};

/** Host of the route to a service. */
export function hostOfRoute(service: string): string {
  return `${service}.example`;
}

function outcomeIn(headers: HeaderValues): Outcome | null {
  return headerOf(headers, HEADERS.outcome) as Outcome | null;
}

/** Value of a header that stands once; `null` otherwise. */
export function headerOf(headers: HeaderValues, name: string): string | null {
  const value = headers[name];
  return typeof value === 'string' ? value : null;
}

/** Returns the path of a request, which is the same for each resend. */
function pathOf(attempt: Attempt): string {
  const key = attempt.key === null ? '' : `/${encodeURIComponent(attempt.key)}`;
  const query = attempt.coalesced ? '' : `?request=${encodeURIComponent(attempt.request)}`;
  return `/${attempt.service}${key}${query}`;
}

function deadlineOf({ deadlineMillis }: Attempt): string {
  return String(Math.round(deadlineMillis));
}

function bodyHeaders({ method }: Attempt): Record<string, string> {
  return method === 'POST' ? { 'content-type': 'application/json' } : {};
}
