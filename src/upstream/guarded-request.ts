/** One request that the fence let in, as its handler sees it. */
import type { ServerResponse } from 'node:http';
import type { ShardId } from '../model/identifiers.js';
import type { RequestHead } from './request-head.js';

/** What the fence keeps of a request while it runs. */
export interface GuardedWork {
  /** Whether the request may still take effect. */
  confirmEffect(): boolean;
  /** The request is over. Called once. */
  finish(): void;
}

/**
 * What a handler gets. `confirmEffect` must be called, without waiting for anything afterwards, right before the
 * handler changes state that outlives the request; `false` means that it must not.
 */
export interface GuardedRequest {
  readonly requestId: string | null;
  readonly key: string | null;
  readonly shard: ShardId | null;
  /** Aborted when the deadline passes or the router gives the request up. */
  readonly signal: AbortSignal;
  confirmEffect(): boolean;
}

/** A request whose deadline passed, as the reason of its signal. */
export class DeadlinePassedError extends Error {}
/** A request that its router gave up, as the reason of its signal. */
export class RequestCancelledError extends Error {}

/** Watches deadline and disconnect, and ends the work once handler and answer are both done. */
export class GuardedExchange implements GuardedRequest {
  readonly requestId: string | null;
  readonly key: string | null;
  readonly shard: ShardId | null;
  private readonly abortion = new AbortController();
  private readonly deadline: NodeJS.Timeout | undefined;
  private handlerDone = false;
  private answerDone = false;

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
    response.once('close', () => this.closeAnswer(response.writableFinished));
  }

  get signal(): AbortSignal {
    return this.abortion.signal;
  }

  confirmEffect(): boolean {
    return !this.abortion.signal.aborted && this.work.confirmEffect();
  }

  /** The handler has returned, so it will do nothing more. */
  closeHandler(): void {
    this.handlerDone = true;
    this.finishIfDone();
  }

  private closeAnswer(whole: boolean): void {
    this.answerDone = true;
    if (!whole) {
      this.abort(new RequestCancelledError());
    }
    this.finishIfDone();
  }

  private abort(reason: Error): void {
    this.abortion.abort(reason);
  }

  private finishIfDone(): void {
    if (this.handlerDone && this.answerDone) {
      clearTimeout(this.deadline);
      this.work.finish();
    }
  }
}
