/** Updates the state of upstreams (speed, load, slots, failures) from the results of this router's own attempts. */
import type { FenceRefusal } from '../lease/types.js';
import { CONNECTION_BREAKS } from './connection-break.js';
import { type Attempt, measurementNameOf, type RequestGroup } from './request-group.js';
import type { RouterContext } from './router-context.js';
import type { AttemptResult } from './types.js';
import type { UpstreamState } from './upstream/upstream-state.js';
import { runNameOf } from './watched-runs.js';

/** Pause of an upstream that refused for overload, in addition to any back-off that the upstream requests itself. */
const OVERLOAD_PAUSE_MILLIS = 20;
const PAUSE_JITTER = 0.5;
/** A missed deadline counts as a failure of the upstream only if the attempt lasted at least this many service times. */
const SLOW_ATTEMPT_FACTOR = 5;
/** Minimum for that duration, or half of the service's own deadline if that is less: callers may set very short deadlines. */
const MIN_SLOW_MILLIS = 200;
const FIRST_SERVER_ERROR = 500;

/** The duration of an answered attempt, and the outstanding requests that its answer reported; `null` if none. */
interface AnswerSample {
  readonly tookMillis: number;
  readonly load: number | null;
}

export class AttemptEvidence {
  constructor(private readonly context: RouterContext) {}

  /** Updates the state of an attempt's upstream from the result of the attempt. */
  recordResult(attempt: Attempt, result: AttemptResult): void {
    const { now } = this.context;
    const { upstream, group } = attempt;
    const tookMillis = now - attempt.startedAt;
    this.context.crashes.recordResult(attempt, result);
    if (attempt.run !== null && attempt.run !== runNameOf(upstream)) {
      // The result of an attempt at an earlier run does not apply to the current one.
      return;
    }
    if (result.type === 'answered' || result.type === 'refused') {
      upstream.heardAt = now;
      if (attempt.via === null) {
        this.context.paths.heardDirectly(upstream);
      } else {
        this.context.paths.heardOver(attempt.via, upstream);
      }
    }
    switch (result.type) {
      case 'answered':
        upstream.answered(tookMillis, result.load, now);
        this.countAnswer(attempt, result.status, { tookMillis, load: result.load });
        if (result.load === null) {
          this.recordUnreportedLoad(group);
        }
        return;
      case 'refused':
        this.countRefusal(upstream, result.refusal, result.load ?? null);
        this.recordOtherRun(attempt, result.refusal);
        return;
      case 'connect-failed':
        if (result.recalled === true) {
          return;
        }
        // A caller that leaves at once says nothing about the upstream.
        if (result.cancelled === true && tookMillis < slowAttemptMillis(attempt)) {
          return;
        }
        if (result.closedOnAccept === true) {
          // The upstream is alive, but at its limit of connections or requests.
          this.countRefusal(upstream, 'overloaded', Number.POSITIVE_INFINITY);
          return;
        }
        upstream.recordConnectionFailure(now);
        if (result.refused === true) {
          upstream.warmupState.onConnectionRefused(now);
        }
        this.countFailure(attempt);
        return;
      case 'broken':
        if (result.how !== CONNECTION_BREAKS.relayLost) {
          this.countFailure(attempt);
        }
        return;
      case 'cancelled':
        if (group.timedOut && tookMillis >= slowAttemptMillis(attempt)) {
          this.countFailure(attempt);
        }
    }
  }

  /** Handles a refusal which shows that another run now answers at the upstream's address. */
  private recordOtherRun({ run, upstream }: Attempt, refusal: FenceRefusal): void {
    if (refusal !== 'other-incarnation' || run === null) {
      return;
    }
    this.context.crashes.runs.ended(run, refusal);
    // A refusal addressed to an earlier run does not apply to the current one.
    if (upstream.isAnnounced && run === runNameOf(upstream)) {
      upstream.evidence.recordRunEnd();
    }
  }

  private recordUnreportedLoad({ service, terms, askedAt }: RequestGroup): void {
    const { now } = this.context;
    const isInTime = terms.targetMillis === null || now <= askedAt + terms.targetMillis;
    service.rankRoom.onAnswerWithoutLoad(terms.priority, isInTime, now);
  }

  private countAnswer(attempt: Attempt, status: number, { tookMillis, load }: AnswerSample): void {
    this.recordForFleet(attempt, status, { tookMillis, load });
    const { upstream, group } = attempt;
    if (group.loadShard !== null) {
      this.context.reporter.add(group.loadShard, tookMillis);
    }
    if (attempt.foundFreeSlot) {
      upstream.recordUnqueuedAnswer(tookMillis);
    }
    if (status >= FIRST_SERVER_ERROR) {
      this.countFailure(attempt);
    } else {
      upstream.recordSuccess(this.context.now);
    }
  }

  /**
   * Adds the working time of an answered attempt to the fleet's speed estimates. A wait for a slot is subtracted as far as the reported load
   * allows: at an upstream that is never idle no request finds a free slot, and its speed matters most there. Failures are left out because
   * they don't reflect speed, and cold upstreams because they are slow anyway.
   */
  private recordForFleet(
    { upstream, group, foundFreeSlot }: Attempt,
    status: number,
    sample: AnswerSample,
  ): void {
    const { now, fleetSums } = this.context;
    if (group.service.definition.keyed || status >= FIRST_SERVER_ERROR || upstream.warmupState.isCold(now)) {
      return;
    }
    const { tookMillis, load } = sample;
    if (load !== null) {
      const rounds = Math.max(1, (load + 1) / upstream.slotLimit.totalSlots);
      fleetSums.recordWork(upstream.id, measurementNameOf(group), tookMillis / rounds);
    } else if (foundFreeSlot) {
      fleetSums.recordWork(upstream.id, measurementNameOf(group), tookMillis);
    }
  }

  private countRefusal(upstream: UpstreamState, refusal: FenceRefusal, load: number | null): void {
    const { now, random } = this.context;
    if (refusal === 'draining') {
      upstream.evidence.recordDrainingRefusal(now);
    }
    if (refusal === 'overloaded') {
      upstream.slotLimit.onOverload(now);
      if (upstream.isAnnounced && load !== null) {
        upstream.recordOverload(load, now);
      }
      const pause = random.jitter(OVERLOAD_PAUSE_MILLIS, PAUSE_JITTER);
      upstream.pausedUntil = Math.max(upstream.pausedUntil, now + pause);
    }
  }

  /** Counts a failure; enough consecutive failures eject the upstream. */
  countFailure(attempt: Attempt): void {
    const { now } = this.context;
    const { upstream, group } = attempt;
    const { service } = group;
    const isEjected = upstream.ejection.failed(now, service.ejectedCount(now), service.upstreams.length);
    if (isEjected) {
      this.context.emit({
        type: 'log',
        level: 'warn',
        event: 'upstream-ejected',
        fields: { upstream: upstream.id, service: service.name, until: upstream.ejection.ejectedUntil },
      });
    }
  }
}

function slowAttemptMillis({ upstream, group }: Attempt): number {
  const minimum = Math.min(MIN_SLOW_MILLIS, group.terms.deadlineMillis / 2);
  return Math.max(minimum, upstream.serviceMillis * SLOW_ATTEMPT_FACTOR);
}
