/** One attempt of a router on an upstream, from dialling to the complete answer. */
import type { UpstreamId } from '../../../model/identifiers.js';
import type { AttemptNumber, AttemptResult } from '../../../routing/types.js';
import type { SendId } from '../../checker/history.js';
import type { AnswerFrame, AttemptFrame } from '../upstream/attempt-frame.js';
import type { SimRouter } from './sim-router.js';
import type { UpstreamConnection } from './upstream-connections.js';

type ConnectFailed = Extract<AttemptResult, { readonly type: 'connect-failed' }>;

interface ReceivedAnswer {
  readonly ranFor: SendId;
  readonly content: string;
  readonly whole: boolean;
}

export class SimAttempt {
  /** The answer as far as it has been received. */
  answer: ReceivedAnswer | undefined;
  private connection: UpstreamConnection | null = null;
  private phase: 'dialling' | 'sent' | 'over' = 'dialling';

  constructor(
    readonly router: SimRouter,
    private readonly number: AttemptNumber,
    readonly upstream: UpstreamId,
    readonly frame: AttemptFrame,
  ) {}

  /** Whether the attempt is over, so that its result is no longer needed. */
  get isOver(): boolean {
    return this.phase === 'over';
  }

  /** Ends the attempt because no connection could be established. */
  onConnectFailed(failure: Omit<ConnectFailed, 'type'>): void {
    this.end({ type: 'connect-failed', ...failure });
  }

  /** Ends the attempt because the router that carried its connection was lost. */
  onRelayLost(): void {
    if (this.router.world.sabotage === 'relay-loss-as-unsent') {
      this.end({ type: 'connect-failed', relayFailure: 'lost' });
    } else {
      this.end({ type: 'broken', how: 'relay-lost' });
    }
  }

  /** Records the connection on which the attempt is sent. */
  onSent(connection: UpstreamConnection): void {
    this.connection = connection;
    this.phase = 'sent';
  }

  /** Cancels the attempt. */
  cancel(): void {
    if (this.phase === 'over') {
      return;
    }
    this.connection?.cancel();
    const wasSent = this.phase === 'sent';
    this.phase = 'over';
    const result: AttemptResult = wasSent
      ? { type: 'cancelled' }
      : { type: 'connect-failed', cancelled: true };
    this.router.schedule(0, () => this.router.attemptEnded(this.number, result), true);
  }

  /** Cancels the attempt if it is still waiting for a connection. */
  recall(): void {
    if (this.phase === 'dialling') {
      this.phase = 'over';
      const result: AttemptResult = { type: 'connect-failed', recalled: true };
      this.router.schedule(0, () => this.router.attemptEnded(this.number, result), true);
    }
  }

  /** Handles a part of an answer; returns `false` if it doesn't belong to this attempt. */
  receive(part: AnswerFrame): boolean {
    const isChecked = this.router.world.sabotage !== 'connection-reused-after-cancel';
    if (isChecked && part.requestId !== this.frame.requestId) {
      return false;
    }
    switch (part.type) {
      case 'refusal':
        this.router.onHead(this.upstream, this.number, part.reported);
        this.end({ type: 'refused', refusal: part.refusal, retryAfterMillis: null });
        return true;
      case 'head':
        this.router.onHead(this.upstream, this.number, part.reported);
        this.answer = { ranFor: part.ranFor, content: part.content, whole: false };
        return true;
      case 'end':
        return this.receiveEnd(part.load);
    }
  }

  /** Ends the attempt because the connection broke or delivered an unexpected message. */
  onBroken(): void {
    if (this.router.world.sabotage === 'piece-as-whole' && this.answer !== undefined) {
      this.endAnswered(0);
      return;
    }
    this.end({ type: 'broken' });
  }

  private receiveEnd(load: number): boolean {
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
