/** A request admitted by the fence, as passed to its handler. */
import type { ServerResponse } from 'node:http';
import type { ShardId } from '../model/identifiers.js';
import type { RequestHead } from './request-head.js';

/** An admitted request from the point of view of the fence. */
export interface GuardedWork {
  /** Whether the request may still take effect. */
  confirmEffect(): boolean;
  /** Ends the request. Called once. */
  finish(): void;
}

/**
 * Passed to handlers. `confirmEffect` must be called synchronously right before the handler changes state that outlives
 * the request; if it returns `false`, the handler must not make the change.
 */
export interface GuardedRequest {
  readonly requestId: string | null;
  readonly key: string | null;
  readonly shard: ShardId | null;
  /** Aborted when the deadline passes or the router cancels the request. */
  readonly signal: AbortSignal;
  confirmEffect(): boolean;
}

/** Abort reason of a request whose deadline has passed. */
export class DeadlinePassedError extends Error {}
/** Abort reason of a request that its router cancelled. */
export class RequestCancelledError extends Error {}

/** Monitors deadline and disconnect, and finishes the work once both handler and response are done. */
export class GuardedExchange implements GuardedRequest {
  readonly requestId: string | null;
  readonly key: string | null;
  readonly shard: ShardId | null;
  private readonly abortController = new AbortController();
  private readonly deadline: NodeJS.Timeout | undefined;
  private handlerDone = false;
  private responseDone = false;

  constructor(
    head: RequestHead,
    private readonly work: GuardedWork,
    response: ServerResponse,
  ) {
    this.requestId = head.requestId;
    this.key = head.key;
    this.shard = head.credentials?.shard ?? null;
    if (head.deadlineMillis !== null) {
      this.deadline = setTimeout(() => this.abort(new DeadlinePassedError()), head.deadlineMillis);
    }
    response.once('close', () => this.closeResponse(response.writableFinished));
  }

  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  confirmEffect(): boolean {
    return !this.abortController.signal.aborted && this.work.confirmEffect();
  }

  /** Marks the handler as returned. */
  closeHandler(): void {
    this.handlerDone = true;
    this.finishIfDone();
  }

  private closeResponse(whole: boolean): void {
    this.responseDone = true;
    if (!whole) {
      this.abort(new RequestCancelledError());
    }
    this.finishIfDone();
  }

  private abort(reason: Error): void {
    this.abortController.abort(reason);
  }

  private finishIfDone(): void {
    if (this.handlerDone && this.responseDone) {
      clearTimeout(this.deadline);
      this.work.finish();
    }
  }
}
