/** Task that owns the HTTP connections to upstreams and carries session requests over them. */
import { Agent } from 'undici';
import { TernmountError, toError } from '../../errors/ternmount-error.js';
import type { SessionAnswer, SessionRequest } from '../../lease/types.js';
import type { Logger } from '../../logging/logger.js';
import type { Address, UpstreamId } from '../../model/identifiers.js';
import { HEADERS } from '../../model/outcome.js';
import { computeSessionProof } from '../../wire/session/session-proof.js';
import { sessionAnswerSchema } from '../../wire/session/session-schema.js';

/** Requests to one upstream at once: a second one may overtake a first that hangs. */
const MAX_CALLS_PER_UPSTREAM = 2;
/**
 * Time in one turn of the event loop for sending requests, in milliseconds. A new leader has one for each upstream at
 * once, most over a new connection; sent together they would keep its own heartbeats waiting and then time out together.
 */
const SEND_MILLIS_PER_TURN = 10;
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
const KEEP_ALIVE_MILLIS = 4000;
const OK = 200;

export interface UpstreamSessionsOwner {
  answered(upstream: UpstreamId, sequence: number, answer: SessionAnswer): void;
  failed(upstream: UpstreamId, sequence: number): void;
}

/** An answer that isn't one to the request. */
class SessionFailedError extends TernmountError {
  constructor(message: string, cause?: Error) {
    super({ code: 'TERNMOUNT_CONTROL_SESSION_FAILED', retriable: true, cause }, message);
  }
}

/** A request that waits for its turn. */
interface WaitingCall {
  readonly upstream: UpstreamId;
  readonly address: Address;
  readonly request: SessionRequest;
}

export interface UpstreamSessionsOptions {
  /** An upstream that didn't answer in this time failed. */
  readonly timeoutMillis: number;
  readonly owner: UpstreamSessionsOwner;
  readonly log: Logger;
  /** Own IP number from which connections go out. */
  readonly localAddress?: string | undefined;
  /** The cluster's secret, proved with each message; empty: no proof is sent. */
  readonly secret: string;
}

export class UpstreamSessions {
  private readonly agent: Agent;
  private readonly calls = new Map<UpstreamId, number>();
  private waiting: WaitingCall[] = [];
  private turn: NodeJS.Immediate | undefined;

  constructor(private readonly options: UpstreamSessionsOptions) {
    const { timeoutMillis, localAddress } = options;
    this.agent = new Agent({
      connections: MAX_CALLS_PER_UPSTREAM,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MILLIS,
      maxResponseSize: MAX_ANSWER_BYTES,
      connect: { timeout: timeoutMillis },
      ...(localAddress && { localAddress }),
    });
  }

  /** Sends a request; the owner hears of its end exactly once, never during this call. */
  call(upstream: UpstreamId, address: Address, request: SessionRequest): void {
    const calls = this.calls.get(upstream) ?? 0;
    if (calls >= MAX_CALLS_PER_UPSTREAM) {
      queueMicrotask(() => this.options.owner.failed(upstream, request.sequence));
      return;
    }
    this.calls.set(upstream, calls + 1);
    this.waiting.push({ upstream, address, request });
    this.turn ??= setImmediate(() => this.sendSome());
  }

  async stop(): Promise<void> {
    clearImmediate(this.turn);
    this.waiting = [];
    await this.agent.destroy();
  }

  /** A request's time runs from here on, so that none fails for having waited behind others. */
  private sendSome(): void {
    const until = performance.now() + SEND_MILLIS_PER_TURN;
    let sent = 0;
    while (sent < this.waiting.length && performance.now() < until) {
      const { upstream, address, request } = this.waiting[sent] as WaitingCall;
      sent += 1;
      void this.exchange(upstream, address, request);
    }
    this.waiting = this.waiting.slice(sent);
    this.turn = this.waiting.length > 0 ? setImmediate(() => this.sendSome()) : undefined;
  }

  private async exchange(upstream: UpstreamId, address: Address, request: SessionRequest): Promise<void> {
    let answer: SessionAnswer | null = null;
    const abortion = new AbortController();
    const timer = setTimeout(() => abortion.abort(), this.options.timeoutMillis);
    try {
      answer = await this.post(address, request, abortion.signal);
    } catch (thrown) {
      const reason = toError(thrown);
      this.options.log.debug('session-failed', { upstream, address, sequence: request.sequence, reason });
    }
    clearTimeout(timer);
    this.endCall(upstream);
    if (answer === null) {
      this.options.owner.failed(upstream, request.sequence);
    } else {
      this.options.owner.answered(upstream, request.sequence, answer);
    }
  }

  private async post(address: Address, request: SessionRequest, signal: AbortSignal): Promise<SessionAnswer> {
    const { secret } = this.options;
    const body = JSON.stringify(request);
    const proof = secret === '' ? {} : { [HEADERS.sessionProof]: computeSessionProof(secret, body) };
    const response = await this.agent.request({
      origin: `http://${address}`,
      path: '/ternmount/v1/session',
      method: 'POST',
      headers: { 'content-type': 'application/json', ...proof },
      body,
      signal,
    });
    const text = await response.body.text();
    if (response.statusCode !== OK) {
      throw new SessionFailedError(`status ${response.statusCode}: ${text.slice(0, 200)}`);
    }
    return checkAnswer(text, request);
  }

  private endCall(upstream: UpstreamId): void {
    const left = (this.calls.get(upstream) ?? 1) - 1;
    if (left === 0) {
      this.calls.delete(upstream);
    } else {
      this.calls.set(upstream, left);
    }
  }
}

/** Checks shape, and that the answer is to this request and from this upstream. */
function checkAnswer(text: string, request: SessionRequest): SessionAnswer {
  let answer: SessionAnswer;
  try {
    answer = sessionAnswerSchema.parse(JSON.parse(text));
  } catch (thrown) {
    throw new SessionFailedError('the answer has another shape', toError(thrown));
  }
  if (answer.upstream !== request.upstream || answer.sequence !== request.sequence) {
    throw new SessionFailedError(`the answer is of ${answer.upstream} to ${answer.sequence}`);
  }
  return answer;
}
