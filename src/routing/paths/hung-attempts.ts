/**
 * Watches attempts that get no answer for long: has the path to their upstream checked, and sends repeatable requests again once another
 * path is used.
 */
import type { AttemptResults } from '../attempt-results.js';
import type { Dispatcher } from '../dispatcher.js';
import type { Attempt } from '../request-group.js';
import type { RouterContext } from '../router-context.js';
import type { UpstreamState } from '../upstream/upstream-state.js';
import { runNameOf } from '../watched-runs.js';
import { isOnLeftPath, mayResend } from './left-path.js';
import type { Path } from './path-check.js';
import { PATH_OUTCOMES, type PathOutcome } from './path-outcome.js';
import { UNSEEN } from './path-watch.js';

/** A path is checked once its upstream is quiet for this multiple of its usual time, but not before the minimum. */
const QUIET_FACTOR = 3;
const MIN_QUIET_MILLIS = 200;
/** Factors on that time while others answer, since an upstream that is slow is far more common then; the second after a check found the path working. */
const OTHERS_ANSWER_FACTOR = 2;
const KNOWN_SLOW_FACTOR = 4;
/** How long it counts that a check found a path working. */
const KNOWN_SLOW_MILLIS = 10_000;
/** Assumed time of an answer while nothing was measured and the route has no target. */
const UNMEASURED_MILLIS = 200;
/** Attempts that wait for a connection have been recalled by then, so that what is left was sent. */
const RESEND_DELAY_MILLIS = 1;

/** A path that was left, and the attempts that were sent over it. */
export interface LeftPath {
  readonly upstream: UpstreamState;
  readonly path: Path;
  readonly evidence: PathOutcome;
}

export interface HungAttemptsParts {
  readonly context: RouterContext;
  readonly results: AttemptResults;
  readonly dispatcher: Dispatcher;
}

export class HungAttempts {
  readonly #context: RouterContext;
  readonly #results: AttemptResults;
  readonly #dispatcher: Dispatcher;

  constructor({ context, results, dispatcher }: HungAttemptsParts) {
    this.#context = context;
    this.#results = results;
    this.#dispatcher = dispatcher;
    context.paths.onPathChange((upstream, path, evidence) => this.#leave({ upstream, path, evidence }));
  }

  /** Looks at all attempts in flight. */
  sweep(): void {
    const { attempts, paths, now } = this.#context;
    for (const attempt of [...attempts.values()]) {
      const { upstream } = attempt;
      const quietMillis = quietMillisOf(attempt);
      const quietForMillis = now - Math.max(attempt.startedAt, upstream.heardAt ?? attempt.startedAt);
      if (attempt.abandoned || quietForMillis < quietMillis) {
        continue;
      }
      if (isOnLeftPath(attempt) || paths.leaveAssumedLost(upstream)) {
        this.#resend(attempt);
      } else if (this.#mayBeCutOff(upstream, quietForMillis, quietMillis)) {
        paths.judge(upstream, UNSEEN, () => {});
      }
    }
  }

  #mayBeCutOff(upstream: UpstreamState, quietForMillis: number, quietMillis: number): boolean {
    const { paths, now } = this.#context;
    const isKnownSlow = now < upstream.path.workedAt + KNOWN_SLOW_MILLIS;
    const factor = isKnownSlow ? KNOWN_SLOW_FACTOR : OTHERS_ANSWER_FACTOR;
    const isLong = quietForMillis >= quietMillis * factor;
    return (isLong || !paths.hasHeardOthers(upstream, now - quietMillis)) && paths.isCheckDue(upstream);
  }

  /** Sends again what hangs on a path that was left. */
  resend({ upstream, path, evidence }: LeftPath): void {
    const { attempts } = this.#context;
    // Where connections are refused, open ones may live on and answer.
    if (evidence !== PATH_OUTCOMES.refused) {
      for (const attempt of [...attempts.values()]) {
        if (attempt.upstream === upstream && attempt.via?.router === path?.router && isOnLeftPath(attempt)) {
          this.#resend(attempt);
        }
      }
    }
    this.#dispatcher.drainUpstream(upstream);
  }

  #leave(left: LeftPath): void {
    const context = this.#context;
    const run = runNameOf(left.upstream);
    if (run !== null && left.path === null) {
      context.crashes.runs.reachedOtherwise(run);
    }
    if (left.evidence !== PATH_OUTCOMES.reached) {
      context.schedule(context.now + RESEND_DELAY_MILLIS, { type: 'path-resend', left });
    }
  }

  #resend(attempt: Attempt): void {
    const { group } = attempt;
    const isCurrent = !attempt.abandoned && group.attempt === attempt && group.phase === 'in-flight';
    if (isCurrent && mayResend(group)) {
      this.#results.resend(attempt);
    }
  }
}

/** Time without a sign of an attempt's upstream after which its path may be lost. */
function quietMillisOf({ upstream, group }: Attempt): number {
  const { service, terms } = group;
  const measuredMillis = upstream.measuredMillis ?? service.measuredMillis();
  const usualMillis = measuredMillis ?? terms.targetMillis ?? UNMEASURED_MILLIS;
  return Math.max(MIN_QUIET_MILLIS, usualMillis * QUIET_FACTOR);
}
