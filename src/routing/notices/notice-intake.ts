/** What follows from a word of an upstream: what waits for it is sent, goes on waiting, or is answered, and what wasn't sent yet is taken back. */
import type { UpstreamNotice } from '../../model/upstream-notice.js';
import type { Dispatcher } from '../dispatcher.js';
import type { Admission } from '../queue/admission.js';
import type { RouterContext } from '../router-context.js';
import type { AttemptNumber, AttemptResult } from '../types.js';
import { runNameOf, speakerOf } from '../watched-runs.js';
import type { Attempt } from '../work.js';
import type { HeardFrom } from './notice-table.js';
import type { RunNotices } from './run-notices.js';

export interface NoticeIntakeParts {
  readonly context: RouterContext;
  readonly admission: Admission;
  readonly dispatcher: Dispatcher;
}

export class NoticeIntake {
  readonly #parts: NoticeIntakeParts;

  constructor(parts: NoticeIntakeParts) {
    this.#parts = parts;
  }

  /** The head of an answer came; one of an attempt that isn't known any more is ignored. */
  headed(number: AttemptNumber, notice: UpstreamNotice): void {
    const { context } = this.#parts;
    const attempt = context.attempts.get(number);
    if (attempt !== undefined) {
      const heeded = hasSession(attempt) ? { ...notice, isLeaving: false } : notice;
      this.#follow(context.notices.take(heeded, this.#sourceOf(attempt), context.now));
    }
  }

  /** An attempt ended. A refusal that names a time asks for rest, also where its head wasn't told. */
  ended(attempt: Attempt, result: AttemptResult): void {
    const { notices, now } = this.#parts.context;
    const from = this.#sourceOf(attempt);
    if (result.type === 'refused' && result.refusal === 'overloaded' && result.retryAfterMillis !== null) {
      this.#follow(notices.restAsked(result.retryAfterMillis, from, now));
    }
    const isAnswered = result.type === 'answered' || result.type === 'refused';
    notices.of(from.run)?.rest.ended(attempt.number, isAnswered);
  }

  #sourceOf({ number, upstream, run, startedAt }: Attempt): HeardFrom {
    const { latestAttempt } = this.#parts.context;
    return {
      attempt: number,
      latest: latestAttempt,
      upstream: upstream.id,
      run: speakerOf(upstream.id, run),
      isNamed: run !== null,
      startedAt,
    };
  }

  /** `changed`: a run whose word lets more through than before, or less; `null`: none does. */
  #follow(changed: RunNotices | null): void {
    const { context, dispatcher, admission } = this.#parts;
    const upstream = changed === null ? undefined : context.upstreams.get(changed.upstream);
    if (
      changed === null ||
      upstream === undefined ||
      speakerOf(upstream.id, runNameOf(upstream)) !== changed.run
    ) {
      return;
    }
    upstream.useNotices(changed);
    if (!changed.takesAnything(context.now)) {
      context.emit({ type: 'recall-unsent', upstream: upstream.id });
    }
    dispatcher.drainUpstream(upstream);
    admission.refuseHeldBackFor(upstream);
  }
}

/**
 * Whether the upstream has a session with control, in which it says that it leaves. Its keys move by that and by nothing else, so a router that
 * went by the heads of its answers would only leave them unserved.
 */
function hasSession({ work, upstream }: Attempt): boolean {
  return work.service.definition.keyed && !upstream.isAnnounced;
}
