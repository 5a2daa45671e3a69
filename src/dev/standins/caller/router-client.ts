/** Sends attempts to one router and returns their results. */
import { Pool } from 'undici';
import { HEADERS, type Outcome } from '../../../model/outcome.js';
import type { AnswerVerdict } from '../../journal/records.js';
import { CALLER_REQUEST_HEADER, judgeAnswerBody, upstreamOfAnswerBody } from '../answer-body.js';

/** One attempt at a request. */
export interface Attempt {
  readonly service: string;
  readonly method: 'GET' | 'POST';
  readonly request: string;
  readonly key: string | null;
  readonly idempotencyKey: string | null;
  /** Whether the answer to an identical request for the same key is acceptable. */
  readonly coalesced: boolean;
  readonly deadlineMillis: number;
  /** Time after which the caller disconnects if there is no answer; `null`: it waits. */
  readonly leaveMillis: number | null;
}

/** The result of one attempt. */
export interface AttemptAnswer {
  readonly verdict: AnswerVerdict;
  readonly status: number | null;
  readonly outcome: Outcome | null;
  readonly reason: string | null;
  readonly routerRequest: string | null;
  readonly retryAfterMillis: number | null;
  /** The upstream that wrote a complete answer. */
  readonly upstream: string | null;
}

const NO_RESPONSE: Omit<AttemptAnswer, 'verdict'> = {
  status: null,
  outcome: null,
  reason: null,
  routerRequest: null,
  retryAfterMillis: null,
  upstream: null,
};
/** Time that the caller waits beyond its deadline, so that the router can answer at the deadline. */
const DEADLINE_GRACE_MILLIS = 2000;
const MILLIS_PER_SECOND = 1000;
const LOST_ATTEMPT: AttemptAnswer = { verdict: 'lost', ...NO_RESPONSE };
const DISCONNECTED_ATTEMPT: AttemptAnswer = { verdict: 'left', ...NO_RESPONSE };

type HeaderValues = Record<string, string | string[] | undefined>;

function headerOf(headers: HeaderValues, name: string): string | null {
  const value = headers[name];
  return typeof value === 'string' ? value : null;
}

function retryAfterOf(headers: HeaderValues): number | null {
  const text = headerOf(headers, 'retry-after');
  const seconds = Number(text);
  return text === null || Number.isNaN(seconds) ? null : seconds * MILLIS_PER_SECOND;
}

/** Returns the path of a request, which is the same for each resend. */
function pathOf(attempt: Attempt): string {
  const key = attempt.key === null ? '' : `/${encodeURIComponent(attempt.key)}`;
  const query = attempt.coalesced ? '' : `?request=${encodeURIComponent(attempt.request)}`;
  return `/${attempt.service}${key}${query}`;
}

function headersOf(attempt: Attempt): Record<string, string> {
  const headers: Record<string, string> = {
    [CALLER_REQUEST_HEADER]: attempt.request,
    [HEADERS.deadlineMillis]: String(Math.round(attempt.deadlineMillis)),
  };
  if (attempt.idempotencyKey !== null) {
    headers[HEADERS.idempotencyKey] = attempt.idempotencyKey;
  }
  if (attempt.method === 'POST') {
    headers['content-type'] = 'application/json';
  }
  return headers;
}

/** Number of connections to one router, and of requests pipelined on each. */
export interface ConnectionLimits {
  readonly connections: number;
  readonly pipelining: number;
}

/** A pool of connections to one router. */
export class RouterClient {
  readonly name: string;
  readonly #pool: Pool;

  constructor(name: string, address: string, localAddress: string, limits: ConnectionLimits) {
    this.name = name;
    this.#pool = new Pool(`http://${address}`, {
      ...limits,
      connect: { timeout: DEADLINE_GRACE_MILLIS },
      localAddress,
    });
  }

  async send(attempt: Attempt): Promise<AttemptAnswer> {
    const mayDisconnect = attempt.leaveMillis !== null;
    const timeout = AbortSignal.timeout(
      attempt.leaveMillis ?? attempt.deadlineMillis + DEADLINE_GRACE_MILLIS,
    );
    try {
      const response = await this.#pool.request({
        path: pathOf(attempt),
        method: attempt.method,
        headers: headersOf(attempt),
        body: attempt.method === 'POST' ? JSON.stringify({ request: attempt.request }) : null,
        signal: timeout,
      });
      const text = await response.body.text();
      return this.#judge(attempt, response.statusCode, response.headers, text);
    } catch {
      return mayDisconnect && timeout.aborted ? DISCONNECTED_ATTEMPT : LOST_ATTEMPT;
    }
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  #judge(attempt: Attempt, status: number, headers: HeaderValues, text: string): AttemptAnswer {
    const succeeded = status >= 200 && status < 300;
    const verdict = succeeded
      ? judgeAnswerBody(text, attempt.coalesced ? null : attempt.request, attempt.key)
      : 'refused';
    return {
      verdict,
      status,
      outcome: headerOf(headers, HEADERS.outcome) as Outcome | null,
      reason: headerOf(headers, HEADERS.reason),
      routerRequest: headerOf(headers, HEADERS.requestId),
      retryAfterMillis: retryAfterOf(headers),
      upstream: verdict === 'whole' ? upstreamOfAnswerBody(text) : null,
    };
  }
}
