/** Task that owns the HTTP connections to upstreams and sends session requests over them. */
import { Agent, buildConnector } from 'undici';
import { TernmountError, toError } from '../../errors/ternmount-error.js';
import type { SessionAnswer, SessionRequest } from '../../lease/types.js';
import type { Logger } from '../../logging/logger.js';
import type { Address, UpstreamId } from '../../model/identifiers.js';
import { HEADERS } from '../../model/outcome.js';
import { checkHeads } from '../../wire/http/checked-heads.js';
import { computeSessionProof } from '../../wire/session/session-proof.js';
import { sessionAnswerSchema } from '../../wire/session/session-schema.js';

/** Concurrent requests to one upstream: a second request may overtake a first one that hangs. */
const MAX_CALLS_PER_UPSTREAM = 2;
/**
 * Time for sending requests in one iteration of the event loop, in milliseconds. A new leader has a request for each
 * upstream at once, most over a new connection; sent together, they would delay its heartbeats and then time out together.
 */
const SEND_MILLIS_PER_ITERATION = 10;
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
const KEEP_ALIVE_MILLIS = 4000;
const OK = 200;

export interface UpstreamSessionsOwner {
  answered(upstream: UpstreamId, sequence: number, answer: SessionAnswer): void;
  failed(upstream: UpstreamId, sequence: number): void;
}

/** A response that isn't a valid answer to the request. */
class SessionFailedError extends TernmountError {
  constructor(message: string, cause?: Error) {
    super({ code: 'TERNMOUNT_CONTROL_SESSION_FAILED', retriable: true, cause }, message);
  }
}

/** A request that isn't sent yet. */
interface QueuedCall {
  readonly upstream: UpstreamId;
  readonly address: Address;
  readonly request: SessionRequest;
}

export interface UpstreamSessionsOptions {
  /** Timeout of a request, from when it is sent. */
  readonly timeoutMillis: number;
  readonly owner: UpstreamSessionsOwner;
  readonly log: Logger;
  /** Local IP address of outgoing connections. */
  readonly localAddress?: string | undefined;
  /** The cluster's secret, from which a proof is computed for each message; if empty, no proof is sent. */
  readonly secret: string;
}

export class UpstreamSessions {
  private readonly agent: Agent;
  private readonly calls = new Map<UpstreamId, number>();
  private waiting: QueuedCall[] = [];
  private nextBatch: NodeJS.Immediate | undefined;

  constructor(private readonly options: UpstreamSessionsOptions) {
    const { timeoutMillis, localAddress } = options;
    this.agent = new Agent({
      connections: MAX_CALLS_PER_UPSTREAM,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MILLIS,
      maxResponseSize: MAX_ANSWER_BYTES,
      connect: createCheckedConnector({ timeout: timeoutMillis }),
      ...(localAddress && { localAddress }),
    });
  }

  /** Sends a request; the owner is notified of its end exactly once, never during this call. */
  call(upstream: UpstreamId, address: Address, request: SessionRequest): void {
    const calls = this.calls.get(upstream) ?? 0;
    if (calls >= MAX_CALLS_PER_UPSTREAM) {
      queueMicrotask(() => this.options.owner.failed(upstream, request.sequence));
      return;
    }
    this.calls.set(upstream, calls + 1);
    this.waiting.push({ upstream, address, request });
    this.nextBatch ??= setImmediate(() => this.sendBatch());
  }

  async stop(): Promise<void> {
    clearImmediate(this.nextBatch);
    this.waiting = [];
    await this.agent.destroy();
  }

  /** The timeout of a request starts here, so that waiting behind others doesn't make it fail. */
  private sendBatch(): void {
    const deadline = performance.now() + SEND_MILLIS_PER_ITERATION;
    let sent = 0;
    while (sent < this.waiting.length && performance.now() < deadline) {
      const { upstream, address, request } = this.waiting[sent] as QueuedCall;
      sent += 1;
      void this.exchange(upstream, address, request);
    }
    this.waiting = this.waiting.slice(sent);
    this.nextBatch = this.waiting.length > 0 ? setImmediate(() => this.sendBatch()) : undefined;
  }

  private async exchange(upstream: UpstreamId, address: Address, request: SessionRequest): Promise<void> {
    let answer: SessionAnswer | null = null;
    const abort = new AbortController();
    const timer = setTimeout(() => abort.abort(), this.options.timeoutMillis);
    try {
      answer = await this.post(address, request, abort.signal);
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
    return parseAnswer(text, request);
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

/** The HTTP client takes some statuses that aren't of three digits, and what stands behind switched protocols. */
function createCheckedConnector(options: buildConnector.BuildOptions): buildConnector.connector {
  const connect = buildConnector(options);
  return (target, callback) =>
    connect(target, (...result) => {
      if (result[0] === null) {
        checkHeads(result[1]);
      }
      callback(...result);
    });
}

/** Parses the answer, and checks that it is for this request and from this upstream. */
function parseAnswer(text: string, request: SessionRequest): SessionAnswer {
  let answer: SessionAnswer;
  try {
    answer = sessionAnswerSchema.parse(JSON.parse(text));
  } catch (thrown) {
    throw new SessionFailedError('session response does not match the schema', toError(thrown));
  }
  if (answer.upstream !== request.upstream || answer.sequence !== request.sequence) {
    throw new SessionFailedError(
      `session response is from upstream ${answer.upstream} for sequence number ${answer.sequence}`,
    );
  }
  return answer;
}
