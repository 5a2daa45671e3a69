/** Sends attempts to one router and returns their results. */
import { HEADERS, type Outcome } from '../../../model/outcome.js';
import type { AnswerVerdict } from '../../journal/records.js';
import { judgeAnswerBody, upstreamOfAnswerBody } from '../answer-body.js';
import { CallerConnections, ClosedByCallerError } from './caller-connections.js';
import {
  type Attempt,
  type HeaderValues,
  headerOf,
  REQUEST_FORMS,
  type RequestForm,
  type RequestFormName,
} from './request-form.js';
import type { ReceivedAnswer } from './single-send.js';

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

function retryAfterOf(headers: HeaderValues): number | null {
  const text = headerOf(headers, 'retry-after');
  const seconds = Number(text);
  return text === null || Number.isNaN(seconds) ? null : seconds * MILLIS_PER_SECOND;
}

/** How a caller connects to one router. */
export interface RouterClientOptions {
  readonly name: string;
  readonly address: string;
  readonly localAddress: string;
  /** Number of connections, and of requests pipelined on each. */
  readonly connections: number;
  readonly pipelining: number;
  readonly form: RequestFormName;
}

/** Sends attempts to one router over its own connections. */
export class RouterClient {
  readonly name: string;
  readonly #connections: CallerConnections;
  readonly #form: RequestForm;

  constructor({ name, address, localAddress, connections, pipelining, form }: RouterClientOptions) {
    this.name = name;
    this.#form = REQUEST_FORMS[form];
    this.#connections = new CallerConnections({
      origin: `http://${address}`,
      localAddress,
      connectMillis: DEADLINE_GRACE_MILLIS,
      connections,
      pipelining,
    });
  }

  async send(attempt: Attempt): Promise<AttemptAnswer> {
    const mayDisconnect = attempt.leaveMillis !== null;
    const timeout = AbortSignal.timeout(
      attempt.leaveMillis ?? attempt.deadlineMillis + DEADLINE_GRACE_MILLIS,
    );
    const options = {
      path: this.#form.path(attempt),
      method: attempt.method,
      headers: this.#form.headers(attempt),
      body: attempt.method === 'POST' ? JSON.stringify({ request: attempt.request }) : null,
    };
    try {
      return this.#judge(attempt, await this.#connections.send(options, timeout));
    } catch (thrown) {
      const hasLeft = (mayDisconnect && timeout.aborted) || thrown instanceof ClosedByCallerError;
      return hasLeft ? DISCONNECTED_ATTEMPT : LOST_ATTEMPT;
    }
  }

  async close(): Promise<void> {
    await this.#connections.close();
  }

  #judge(attempt: Attempt, { status, headers, text }: ReceivedAnswer): AttemptAnswer {
    const succeeded = status >= 200 && status < 300;
    const verdict = succeeded
      ? judgeAnswerBody(text, attempt.coalesced ? null : attempt.request, attempt.key)
      : 'refused';
    return {
      verdict,
      status,
      outcome: this.#form.outcomeOf(attempt, status, headers),
      reason: headerOf(headers, HEADERS.reason),
      routerRequest: this.#form.routerRequestOf(attempt, headers),
      retryAfterMillis: retryAfterOf(headers),
      upstream: verdict === 'whole' ? upstreamOfAnswerBody(text) : null,
    };
  }
}
