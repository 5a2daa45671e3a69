/** What happened to one request, told in one line when it is answered. */
import type { Logger } from '../logging/logger.js';
import type { Epoch, Revision, UpstreamId } from '../model/identifiers.js';
import type { ConnectionBreak } from '../routing/connection-break.js';
import type { AttemptNumber, AttemptResult, RouterEffect } from '../routing/types.js';
import type { CallerExchange } from './caller/caller-exchange.js';

type RefuseEffect = Extract<RouterEffect, { readonly type: 'refuse' }>;
type DispatchEffect = Extract<RouterEffect, { readonly type: 'dispatch' }>;

/** One attempt; times in milliseconds from the request's arrival. */
interface AttemptStep {
  readonly attempt: AttemptNumber;
  readonly upstream: UpstreamId;
  readonly revision: Revision;
  readonly fence: Epoch | null;
  readonly sentAt: number;
  endedAt: number | null;
  result: string | null;
  /** How the connection of a broken attempt came to its end. */
  how?: ConnectionBreak;
}

/** An answer of an upstream after this many milliseconds is told of in any case. */
const SLOW_MILLIS = 500;
const FIRST_SERVER_ERROR = 500;

export class RequestTrail {
  private readonly steps: AttemptStep[] = [];

  constructor(
    private readonly exchange: CallerExchange,
    private readonly log: Logger,
  ) {}

  sent({ attempt, upstream, revision, fence }: DispatchEffect): void {
    this.steps.push({
      attempt,
      upstream,
      revision,
      fence,
      sentAt: this.elapsed(),
      endedAt: null,
      result: null,
    });
  }

  ended(attempt: AttemptNumber, result: AttemptResult): void {
    const step = this.steps.find((candidate) => candidate.attempt === attempt);
    if (step !== undefined) {
      step.endedAt = this.elapsed();
      step.result = describe(result);
      if (result.type === 'broken' && result.how !== undefined) {
        step.how = result.how;
      }
    }
  }

  /** An upstream's answer was given. */
  delivered(attempt: AttemptNumber): void {
    const step = this.steps.find((candidate) => candidate.attempt === attempt);
    const status = Number(step?.result?.split(' ')[1] ?? 0);
    const isOrdinary = this.steps.length === 1 && status < FIRST_SERVER_ERROR && this.elapsed() < SLOW_MILLIS;
    if (isOrdinary) {
      this.log.sample('request-answered', () => this.fields(status));
    } else {
      this.log.info('request-answered', this.fields(status));
    }
  }

  /** The router answered itself. */
  refused(effect: RefuseEffect): void {
    const { status, reason, outcome, retryAfterMillis, facts } = effect;
    this.log.info('request-refused', { ...this.fields(status), reason, outcome, retryAfterMillis, ...facts });
  }

  /** The caller went away. */
  cancelled(): void {
    this.log.info('request-cancelled', this.fields(null));
  }

  private fields(status: number | null) {
    const { head } = this.exchange;
    const { requestId, method, place, target, key } = head;
    const host = place?.host ?? null;
    const path = place?.path ?? target.split('?', 1)[0];
    const tookMillis = this.elapsed();
    return { id: requestId, method, host, path, key, status, tookMillis, attempts: this.steps };
  }

  private elapsed(): number {
    return Math.round((performance.now() - this.exchange.arrivedAt) * 10) / 10;
  }
}

function describe(result: AttemptResult): string {
  switch (result.type) {
    case 'answered':
      return `answered ${result.status}`;
    case 'refused':
      return `refused ${result.refusal}`;
    default:
      return result.type;
  }
}
