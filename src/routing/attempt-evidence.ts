/** What the ends of this router's own attempts say about their upstreams: speed, load, slots, failures. */
import type { FenceRefusal } from '../lease/types.js';
import type { RouterContext } from './router-context.js';
import type { AttemptResult } from './types.js';
import type { UpstreamState } from './upstream/upstream-state.js';
import { runNameOf } from './watched-runs.js';
import type { Attempt, Work } from './work.js';

/** Pause of an upstream that refused for overload; one that names a time itself gets that rest besides. */
const OVERLOAD_PAUSE_MILLIS = 20;
const PAUSE_JITTER = 0.5;
/** A deadline that passed speaks against an upstream only when the attempt had this many service times. */
const SLOW_ATTEMPT_FACTOR = 5;
/** And this long, or half of the service's own deadline if that is less: callers may ask for next to no time. */
const LEAST_SLOW_MILLIS = 200;
const FIRST_SERVER_ERROR = 500;

export class AttemptEvidence {
  constructor(private readonly context: RouterContext) {}

  /** Notes what the end of an attempt says about its upstream. */
  take(attempt: Attempt, result: AttemptResult): void {
    const { now } = this.context;
    const { upstream, work } = attempt;
    const took = now - attempt.startedAt;
    this.context.crashes.take(attempt, result);
    if (attempt.run !== null && attempt.run !== runNameOf(upstream)) {
      // What became of an attempt at an earlier run says nothing of the one that is there now.
      return;
    }
    switch (result.type) {
      case 'answered':
        upstream.answered(took, result.load, now);
        this.countAnswer(attempt, result.status, took);
        if (result.load === null) {
          this.noteUnreported(work);
        }
        return;
      case 'refused':
        this.countRefusal(upstream, result.refusal, result.load ?? null);
        this.noteOtherRun(attempt, result.refusal);
        return;
      case 'connect-failed':
        if (result.recalled === true) {
          return;
        }
        if (result.turnedAway === true) {
          // It is there, and has more connections or work than it can take.
          this.countRefusal(upstream, 'overloaded', Number.POSITIVE_INFINITY);
          return;
        }
        upstream.connectionFailed(now);
        if (result.refused === true) {
          upstream.warmth.notListening(now);
        }
        this.countFailure(attempt);
        return;
      case 'broken':
        this.countFailure(attempt);
        return;
      case 'cancelled':
        if (work.timedOut && took >= slowAttemptMillis(attempt)) {
          this.countFailure(attempt);
        }
    }
  }

  /** Another run answers at its address. */
  private noteOtherRun({ run, upstream }: Attempt, refusal: FenceRefusal): void {
    if (refusal !== 'other-incarnation' || run === null) {
      return;
    }
    this.context.crashes.runs.ended(run, refusal);
    // What a run before was told says nothing of the one that is there now.
    if (upstream.isAnnounced && run === runNameOf(upstream)) {
      upstream.evidence.runEnded();
    }
  }

  private noteUnreported({ service, terms, askedAt }: Work): void {
    const { now } = this.context;
    const isInTime = terms.targetMillis === null || now <= askedAt + terms.targetMillis;
    service.rankRoom.answeredUnreported(terms.priority, isInTime, now);
  }

  private countAnswer(attempt: Attempt, status: number, took: number): void {
    const { upstream, work } = attempt;
    if (work.loadName !== null) {
      this.context.reporter.add(work.loadName, took);
    }
    if (attempt.foundFreeSlot) {
      upstream.answeredUnhindered(took);
    }
    if (status >= FIRST_SERVER_ERROR) {
      this.countFailure(attempt);
    } else {
      upstream.succeeded(this.context.now);
    }
  }

  private countRefusal(upstream: UpstreamState, refusal: FenceRefusal, load: number | null): void {
    const { now, random } = this.context;
    if (refusal === 'draining') {
      upstream.evidence.refusedAsDraining(now);
    }
    if (refusal === 'overloaded') {
      upstream.slotLimit.overloaded(now);
      if (upstream.isAnnounced && load !== null) {
        upstream.refusedAsFull(load, now);
      }
      const pause = random.jitter(OVERLOAD_PAUSE_MILLIS, PAUSE_JITTER);
      upstream.pausedUntil = Math.max(upstream.pausedUntil, now + pause);
    }
  }

  /** Counts a failure; enough of them in a row eject the upstream. */
  countFailure(attempt: Attempt): void {
    const { now } = this.context;
    const { upstream, work } = attempt;
    const { service } = work;
    const ejected = upstream.ejection.failed(now, service.ejectedCount(now), service.upstreams.length);
    if (ejected) {
      this.context.emit({
        type: 'log',
        level: 'warn',
        event: 'upstream-ejected',
        fields: { upstream: upstream.id, service: service.name, until: upstream.ejection.ejectedUntil },
      });
    }
  }
}

function slowAttemptMillis({ upstream, work }: Attempt): number {
  const least = Math.min(LEAST_SLOW_MILLIS, work.terms.deadlineMillis / 2);
  return Math.max(least, upstream.serviceMillis * SLOW_ATTEMPT_FACTOR);
}
