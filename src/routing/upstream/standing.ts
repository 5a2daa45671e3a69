/**
 * Decides whether an upstream may be picked and when it counts as draining. The operator's declaration is final. This router's own recent
 * observations come next; the platform's list and health checks lag or mislead, so they are hints which expire.
 */

/**
 * `usable`: may be picked. `suspect`: only if no usable upstream is left. `last-resort`: only if no suspect has a slot either.
 * `leaving`: draining, gets no new requests.
 */
export type Standing = 'usable' | 'suspect' | 'last-resort' | 'leaving';

/** How long a successful request of this router counts as evidence for an upstream. */
export const FRESH_SUCCESS_MILLIS = 2000;
/** How long a refusal with reason `draining` counts as evidence against an upstream. */
export const FRESH_DRAINING_MILLIS = 5000;
/** How long a failed connection counts as evidence against an upstream, unless a request succeeds meanwhile. */
export const FRESH_UNREACHABLE_MILLIS = 1000;
/** Each further failure in a row counts twice as long, up to this maximum, so that an upstream that is gone is tried less and less often. */
export const MAX_UNREACHABLE_MILLIS = 8000;
/** A hint of the platform or of a health check expires after this time unless it is repeated. */
export const HINT_LIFETIME_MILLIS = 15_000;

/** Input of `standingOf`: the columns of its table. */
export interface StandingFacts {
  readonly isDrainedByOperator: boolean;
  /** The upstream's address answered as another run, so this run has ended. */
  readonly hasEnded: boolean;
  /** The run reported in an answer that it is draining. */
  readonly reportsDraining: boolean;
  /** The upstream's fence recently refused a request as `draining`, and no request has succeeded since. */
  readonly hasDrainingRefusal: boolean;
  /** A request of this router recently succeeded. */
  readonly hasRecentSuccess: boolean;
  /** A connection of this router recently failed, and no request has succeeded since. */
  readonly hasFailedConnection: boolean;
  readonly platformReportsDraining: boolean;
  readonly probeUnhealthy: boolean;
}

/**
 * Derives the standing by the first matching row:
 *
 * | operator, run ended, or draining notice | draining refusal | platform or probe against | recent success | failed connection | standing |
 * | yes      | -            | -                            | -           | -               | leaving  |
 * | no       | yes          | -                            | -           | -               | leaving  |
 * | no       | no           | yes, the platform            | no          | -               | last-resort |
 * | no       | no           | yes, either                  | any other   | -               | suspect  |
 * | no       | no           | no                           | -           | yes             | suspect  |
 * | no       | no           | no                           | -           | no              | usable   |
 *
 * A suspect is avoided while others are usable, so its successes expire and a correct hint takes effect within seconds.
 * Hints alone never exclude all upstreams of a service: if the platform reports all of them as draining, they continue to
 * serve, and an upstream that is really draining reports it itself.
 */
export function standingOf(facts: StandingFacts): Standing {
  if (facts.isDrainedByOperator || facts.hasEnded || facts.reportsDraining || facts.hasDrainingRefusal) {
    return 'leaving';
  }
  if (facts.platformReportsDraining && !facts.hasRecentSuccess) {
    return 'last-resort';
  }
  const isDoubtful = facts.platformReportsDraining || facts.probeUnhealthy || facts.hasFailedConnection;
  return isDoubtful ? 'suspect' : 'usable';
}

/** Evidence about one upstream, with timestamps. */
export class StandingEvidence {
  isDrainedByOperator = false;
  /** The current run reported that it is draining; later successes don't change that. */
  reportsDraining = false;
  private hasEnded = false;
  private successAt = Number.NEGATIVE_INFINITY;
  private drainingAt = Number.NEGATIVE_INFINITY;
  private unreachableAt = Number.NEGATIVE_INFINITY;
  private unreachableMillis = 0;
  private platformLeavingAt = Number.NEGATIVE_INFINITY;
  private unhealthyAt = Number.NEGATIVE_INFINITY;

  recordSuccess(now: number): void {
    this.successAt = now;
  }

  recordDrainingRefusal(now: number): void {
    this.drainingAt = now;
  }

  /** Records the end of the run, which is certain for upstreams whose runs have ids. */
  recordRunEnd(): void {
    this.hasEnded = true;
  }

  recordConnectionFailure(now: number): void {
    const isFirst = this.successAt > this.unreachableAt || this.unreachableMillis === 0;
    const isSeparateFailure = now - this.unreachableAt >= FRESH_UNREACHABLE_MILLIS;
    if (isFirst) {
      this.unreachableMillis = FRESH_UNREACHABLE_MILLIS;
    } else if (isSeparateFailure) {
      // Attempts that fail together count as one failure.
      this.unreachableMillis = Math.min(MAX_UNREACHABLE_MILLIS, this.unreachableMillis * 2);
    }
    this.unreachableAt = now;
  }

  recordPlatformState(leaving: boolean, now: number): void {
    this.platformLeavingAt = leaving ? now : Number.NEGATIVE_INFINITY;
  }

  recordProbe(healthy: boolean, now: number): void {
    this.unhealthyAt = healthy ? Number.NEGATIVE_INFINITY : now;
  }

  /** Discards failed connections and bad probes since a time. */
  forgetFailuresSince(at: number): void {
    if (this.unreachableAt >= at) {
      this.unreachableAt = Number.NEGATIVE_INFINITY;
      this.unreachableMillis = 0;
    }
    if (this.unhealthyAt >= at) {
      this.unhealthyAt = Number.NEGATIVE_INFINITY;
    }
  }

  /** Discards the results of this router's requests and of probes, which were about an earlier incarnation. */
  reset(): void {
    this.hasEnded = false;
    this.successAt = Number.NEGATIVE_INFINITY;
    this.drainingAt = Number.NEGATIVE_INFINITY;
    this.unreachableAt = Number.NEGATIVE_INFINITY;
    this.unreachableMillis = 0;
    this.unhealthyAt = Number.NEGATIVE_INFINITY;
  }

  /** Whether an operator or the upstream itself declared it to be draining. */
  get isDeclaredDraining(): boolean {
    return this.isDrainedByOperator || this.reportsDraining;
  }

  standing(now: number): Standing {
    return standingOf({
      isDrainedByOperator: this.isDrainedByOperator,
      hasEnded: this.hasEnded,
      reportsDraining: this.reportsDraining,
      hasDrainingRefusal: now - this.drainingAt < FRESH_DRAINING_MILLIS && this.drainingAt >= this.successAt,
      hasRecentSuccess: now - this.successAt < FRESH_SUCCESS_MILLIS,
      hasFailedConnection:
        now - this.unreachableAt < this.unreachableMillis && this.unreachableAt >= this.successAt,
      platformReportsDraining: now - this.platformLeavingAt < HINT_LIFETIME_MILLIS,
      probeUnhealthy: now - this.unhealthyAt < HINT_LIFETIME_MILLIS,
    });
  }
}
