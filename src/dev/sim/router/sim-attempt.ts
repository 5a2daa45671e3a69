/** One attempt of a router on an upstream, from dialling to its whole answer. */
import type { UpstreamId } from '../../../model/identifiers.js';
import type { AttemptNumber, AttemptResult } from '../../../routing/types.js';
import type { SendId } from '../../checker/history.js';
import type { AnswerFrame, AttemptFrame } from '../upstream/attempt-frame.js';
import type { SimRouter } from './sim-router.js';
import type { UpstreamConnection } from './upstream-connections.js';

interface ReceivedAnswer {
  readonly ranFor: SendId;
  readonly content: string;
  readonly whole: boolean;
}

export class SimAttempt {
  /** What came so far. */
  answer: ReceivedAnswer | undefined;
  private connection: UpstreamConnection | null = null;
  private phase: 'dialling' | 'sent' | 'over' = 'dialling';

  constructor(
    readonly router: SimRouter,
    private readonly number: AttemptNumber,
    readonly upstream: UpstreamId,
    readonly frame: AttemptFrame,
  ) {}

  /** Whether nobody waits for it any more. */
  get isOver(): boolean {
    return this.phase === 'over';
  }

  /** No connection could be made. */
  failToConnect(): void {
    this.end({ type: 'connect-failed' });
  }

  /** It goes out on this connection. */
  sentOn(connection: UpstreamConnection): void {
    this.connection = connection;
    this.phase = 'sent';
  }

  /** The router gives it up. */
  cancel(): void {
    if (this.phase === 'over') {
      return;
    }
    this.connection?.cancel();
    const wasSent = this.phase === 'sent';
    this.phase = 'over';
    const result: AttemptResult = { type: wasSent ? 'cancelled' : 'connect-failed' };
    this.router.schedule(0, () => this.router.attemptEnded(this.number, result), true);
  }

  /** The router takes it back if it waits for a connection. */
  recall(): void {
    if (this.phase === 'dialling') {
      this.phase = 'over';
      const result: AttemptResult = { type: 'connect-failed', recalled: true };
      this.router.schedule(0, () => this.router.attemptEnded(this.number, result), true);
    }
  }

  /** Takes a part of an answer; `false` if it isn't one of this attempt's. */
  take(part: AnswerFrame): boolean {
    const isChecked = this.router.world.sabotage !== 'connection-reused-after-cancel';
    if (isChecked && part.requestId !== this.frame.requestId) {
      return false;
    }
    switch (part.type) {
      case 'refusal':
        this.router.headed(this.upstream, this.number, part.said);
        this.end({ type: 'refused', refusal: part.refusal, retryAfterMillis: null });
        return true;
      case 'head':
        this.router.headed(this.upstream, this.number, part.said);
        this.answer = { ranFor: part.ranFor, content: part.content, whole: false };
        return true;
      case 'end':
        return this.takeEnd(part.load);
    }
  }

  /** The connection broke, or carried something that it shouldn't. */
  broke(): void {
    if (this.router.world.sabotage === 'piece-as-whole' && this.answer !== undefined) {
      this.endAnswered(0);
      return;
    }
    this.end({ type: 'broken' });
  }

  private takeEnd(load: number): boolean {
    if (this.answer === undefined) {
      return false;
    }
    this.answer = { ...this.answer, whole: true };
    this.endAnswered(load);
    return true;
  }

  private endAnswered(load: number): void {
    const body = Buffer.from(JSON.stringify(this.answer)).toString('base64');
    const stored = { status: 200, contentType: 'application/json', body, truncated: false };
    this.end({ type: 'answered', status: 200, load, stored });
  }

  private end(result: AttemptResult): void {
    if (this.phase !== 'over') {
      this.phase = 'over';
      this.router.attemptEnded(this.number, result);
    }
  }
}
