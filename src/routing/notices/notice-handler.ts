/**
 * Applies the notices of upstreams: requests queued for the upstream are sent, stay queued or are rejected, and attempts that aren't sent yet are
 * recalled. A notice is what an upstream reports in response headers: a rate limit, a back-off, or that it is draining.
 */
import type { UpstreamNotice } from '../../model/upstream-notice.js';
import type { Dispatcher } from '../dispatcher.js';
import type { Admission } from '../queue/admission.js';
import type { Attempt } from '../request-group.js';
import type { RouterContext } from '../router-context.js';
import type { AttemptNumber, AttemptResult } from '../types.js';
import { noticeSourceOf, runNameOf } from '../watched-runs.js';
import type { NoticeSource } from './notice-table.js';
import type { RunNotices } from './run-notices.js';

export interface NoticeHandlerParts {
  readonly context: RouterContext;
  readonly admission: Admission;
  readonly dispatcher: Dispatcher;
}

export class NoticeHandler {
  readonly #parts: NoticeHandlerParts;

  constructor(parts: NoticeHandlerParts) {
    this.#parts = parts;
  }

  /** Processes the notice in a response head; ignored if the attempt is no longer tracked. */
  onResponseHead(number: AttemptNumber, notice: UpstreamNotice): void {
    const { context } = this.#parts;
    const attempt = context.attempts.get(number);
    if (attempt !== undefined) {
      const effective = hasSession(attempt) ? { ...notice, isLeaving: false } : notice;
      this.#applyChange(context.notices.recordNotice(effective, this.#sourceOf(attempt), context.now));
    }
  }

  /** Processes the end of an attempt. A refusal with a retry time starts a back-off even if no response head was reported. */
  ended(attempt: Attempt, result: AttemptResult): void {
    const { notices, now } = this.#parts.context;
    const from = this.#sourceOf(attempt);
    if (result.type === 'refused' && result.refusal === 'overloaded' && result.retryAfterMillis !== null) {
      this.#applyChange(notices.recordBackoff(result.retryAfterMillis, from, now));
    }
    const isAnswered = result.type === 'answered' || result.type === 'refused';
    notices.get(from.run)?.backoff.ended(attempt.number, isAnswered);
  }

  #sourceOf({ number, upstream, run, startedAt }: Attempt): NoticeSource {
    const { latestAttempt } = this.#parts.context;
    return {
      attempt: number,
      latest: latestAttempt,
      upstream: upstream.id,
      run: noticeSourceOf(upstream.id, run),
      isNamed: run !== null,
      startedAt,
    };
  }

  /** `changed`: a run whose notices now admit more or fewer requests than before; `null` if there is none. */
  #applyChange(changed: RunNotices | null): void {
    const { context, dispatcher, admission } = this.#parts;
    const upstream = changed === null ? undefined : context.upstreams.get(changed.upstream);
    if (
      changed === null ||
      upstream === undefined ||
      noticeSourceOf(upstream.id, runNameOf(upstream)) !== changed.run
    ) {
      return;
    }
    upstream.setNotices(changed);
    if (!changed.acceptsRequests(context.now)) {
      context.emit({ type: 'recall-unsent', upstream: upstream.id });
    }
    dispatcher.drainUpstream(upstream);
    admission.refuseBlockedBy(upstream);
  }
}

/**
 * Whether the upstream has a session with control and reports there that it is draining. Its keys move only by that report, so a router that
 * followed the draining notice in response heads would leave the keys unserved.
 */
function hasSession({ group: work, upstream }: Attempt): boolean {
  return work.service.definition.keyed && !upstream.isAnnounced;
}
