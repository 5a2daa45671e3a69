/**
 * The fence embedded by servers that own keys. It answers the control leader's session requests, admits only requests for
 * shards that this run of the server holds, and passes each handler a check to call right before a request takes effect.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { createLeaseClock } from '../clock/lease-clock.js';
import { createGrantHolder, type FenceRefusal, type GrantHolder, type HolderEvent } from '../lease/index.js';
import type { SessionAnswer, SessionRequest } from '../lease/types.js';
import { HEALTH_PATH } from '../model/health-path.js';
import type { Incarnation, ShardId } from '../model/identifiers.js';
import { HEADERS } from '../model/outcome.js';
import type { DrainOptions, FenceOptions } from './fence-options.js';
import { GuardedExchange, type GuardedWork } from './guarded-request.js';
import { writeHealth } from './health-endpoint.js';
import { writeMalformed, writeRefusal } from './refusal.js';
import { MalformedHeadError, type RequestHead, readRequestHead } from './request-head.js';
import { serveSession } from './session-endpoint.js';

export const SESSION_PATH = '/ternmount/v1/session';

const DEFAULT_RETRY_AFTER_SECONDS = 1;
const DEFAULT_MOVE_MILLIS = 5000;
const DRAIN_CHECK_MILLIS = 20;

/** State of a fence, as reported by its health endpoint. */
export interface FenceStatus {
  readonly upstream: string;
  readonly service: string;
  readonly incarnation: Incarnation;
  readonly state: 'serving' | 'leaving' | 'draining';
  readonly leased: boolean;
  readonly held: number;
  readonly inFlight: number;
  readonly load: number;
}

export class Fence {
  readonly incarnation: Incarnation;
  private readonly holder: GrantHolder;
  private readonly clock: () => number;
  private readonly retryAfterSeconds: number;
  private state: FenceStatus['state'] = 'serving';
  private inFlight = 0;
  /** Responses to admitted requests that aren't whole yet. */
  private readonly openResponses = new Set<ServerResponse>();

  constructor(private readonly options: FenceOptions) {
    this.incarnation = options.incarnation ?? randomUUID();
    this.clock = options.clock ?? createLeaseClock();
    this.retryAfterSeconds = options.retryAfterSeconds ?? DEFAULT_RETRY_AFTER_SECONDS;
    const { cluster, upstream } = options;
    this.holder = createGrantHolder({ cluster, upstream, incarnation: this.incarnation });
  }

  status(): FenceStatus {
    const holder = this.holder.status(this.clock());
    return {
      upstream: this.options.upstream,
      service: this.options.service,
      incarnation: this.incarnation,
      state: holder.draining && this.state === 'serving' ? 'draining' : this.state,
      leased: holder.leased,
      held: holder.held,
      inFlight: this.inFlight,
      load: this.load(),
    };
  }

  /** Serves the fence's own endpoints. Returns `false` without an effect if the request is for none of them. */
  serveEndpoint(request: IncomingMessage, response: ServerResponse): boolean {
    const path = request.url?.split('?', 1)[0];
    this.closeIfDrained(response);
    if (path === SESSION_PATH) {
      serveSession(request, response, {
        secret: this.options.secret ?? null,
        handle: (message) => this.handleSession(message),
      });
      return true;
    }
    if (path === HEALTH_PATH) {
      writeHealth(response, this.status());
      return true;
    }
    return false;
  }

  /**
   * Admits a request, or responds to it and returns `null`. The caller must call `closeHandler` when the handler has
   * returned. A request whose connection is already closed is not admitted, since its end could not be observed.
   */
  open(request: IncomingMessage, response: ServerResponse): GuardedExchange | null {
    if (response.destroyed) {
      return null;
    }
    response.setHeader(HEADERS.load, this.load());
    const head = this.readHead(request, response);
    if (head === null) {
      return null;
    }
    const admitted = this.admit(head);
    if (typeof admitted === 'string') {
      writeRefusal(response, admitted, this.retryAfterSeconds);
      return null;
    }
    this.openResponses.add(response);
    response.once('close', () => this.openResponses.delete(response));
    return new GuardedExchange(head, admitted, response);
  }

  /**
   * Planned stop: requests that the control leader move the shards away, and keeps serving them until the release of each
   * is reported to the leader. Then admits no more requests and resolves when the running ones are done. The server's
   * sockets may be closed after that. Without a lease, no shard may be served, so the fence doesn't wait for moves.
   */
  async drain(options: DrainOptions = {}): Promise<void> {
    if (this.state === 'serving') {
      this.state = 'leaving';
    }
    const until = this.clock() + (options.moveMillis ?? DEFAULT_MOVE_MILLIS);
    while (this.hasHeldShards() && this.clock() < until) {
      await sleep(DRAIN_CHECK_MILLIS);
    }
    this.state = 'draining';
    this.openResponses.forEach(closeWithResponse);
    while (this.inFlight > 0) {
      await sleep(DRAIN_CHECK_MILLIS);
    }
  }

  /**
   * A drained server is about to close, so control and routers, which call it continuously, must not keep their
   * connections open.
   */
  private closeIfDrained(response: ServerResponse): void {
    if (this.state === 'draining') {
      closeWithResponse(response);
    }
  }

  /** Whether this server may serve shards and the leader still regards it as the owner of at least one. */
  private hasHeldShards(): boolean {
    const { held, unreported, leased } = this.holder.status(this.clock());
    return leased && held + unreported > 0;
  }

  private handleSession(message: SessionRequest): SessionAnswer {
    const answer = this.holder.handleSession(message, this.clock());
    this.dispatchEvents();
    return this.state === 'serving' ? answer : { ...answer, leaving: true };
  }

  private readHead(request: IncomingMessage, response: ServerResponse): RequestHead | null {
    const requestId = request.headers[HEADERS.requestId];
    if (typeof requestId === 'string') {
      response.setHeader(HEADERS.requestId, requestId);
    }
    try {
      return readRequestHead(request.headers);
    } catch (thrown) {
      if (!(thrown instanceof MalformedHeadError)) {
        throw thrown;
      }
      writeMalformed(response, thrown.message);
      return null;
    }
  }

  private admit(head: RequestHead): GuardedWork | FenceRefusal {
    if (this.state === 'draining') {
      return 'draining';
    }
    if (this.inFlight >= (this.options.maxInFlight ?? Number.POSITIVE_INFINITY)) {
      return 'overloaded';
    }
    return this.options.keyed === false ? this.admitUnkeyed() : this.admitKeyed(head);
  }

  private admitUnkeyed(): GuardedWork | FenceRefusal {
    if (this.holder.status(this.clock()).draining) {
      return 'draining';
    }
    this.inFlight += 1;
    return { confirmEffect: () => true, finish: () => this.endWork() };
  }

  private admitKeyed(head: RequestHead): GuardedWork | FenceRefusal {
    if (head.credentials === null) {
      return 'not-owner';
    }
    const admission = this.holder.admit(head.credentials, this.clock());
    if (admission.type === 'refused') {
      return admission.refusal;
    }
    this.inFlight += 1;
    const { ticket } = admission;
    return {
      confirmEffect: () => this.holder.confirmEffect(ticket, this.clock()),
      finish: () => {
        this.holder.finish(ticket, this.clock());
        this.endWork();
      },
    };
  }

  private endWork(): void {
    this.inFlight -= 1;
    this.dispatchEvents();
  }

  private dispatchEvents(): void {
    for (const event of this.holder.takeEvents()) {
      this.dispatchEvent(event);
    }
  }

  private dispatchEvent(event: HolderEvent): void {
    if (event.type === 'warm') {
      void this.warmShard(event.shard);
    } else if (event.type === 'granted') {
      this.options.onGranted?.(event.shard);
    } else if (event.type === 'released') {
      this.options.onReleased?.(event.shard);
    }
  }

  /** A shard that couldn't be loaded isn't reported as warm, so the leader moves it cold or elsewhere. */
  private async warmShard(shard: ShardId): Promise<void> {
    try {
      await this.options.onWarm?.(shard);
    } catch {
      return;
    }
    this.holder.markWarmed(shard);
  }

  private load(): number {
    return this.options.load?.() ?? this.inFlight;
  }
}

/** Lets a connection end with a response, unless that one has begun. */
function closeWithResponse(response: ServerResponse): void {
  if (!response.headersSent) {
    response.setHeader('connection', 'close');
  }
}

/** Creates the fence for this run of a server. */
export function createFence(options: FenceOptions): Fence {
  return new Fence(options);
}
