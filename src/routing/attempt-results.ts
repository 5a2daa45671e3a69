/** Decides what follows the end of an attempt: an answer, a retry, or a rejection. A request that may have run is retried only if its service allows it. */
import type { FenceRefusal } from '../lease/types.js';
import type { RelayPeer } from '../model/relay.js';
import type { Answers } from './answers.js';
import { AttemptEvidence } from './attempt-evidence.js';
import { isHotKeyRank } from './capacity/hot-keys.js';
import type { Settlement } from './claim.js';
import { CONNECTION_BREAKS } from './connection-break.js';
import type { Dispatcher } from './dispatcher.js';
import type { NoticeHandler } from './notices/notice-handler.js';
import { promisesNotRun } from './outcome-table.js';
import { isOnLeftPath, mayResend } from './paths/left-path.js';
import type { PathVerdict } from './paths/path-check.js';
import { PATH_OUTCOMES } from './paths/path-outcome.js';
import type { RelayFailure } from './paths/path-watch.js';
import type { Admission } from './queue/admission.js';
import type { Attempt, RequestGroup } from './request-group.js';
import type { RequestIntake } from './request-intake.js';
import type { RouterContext } from './router-context.js';
import type { AttemptNumber, AttemptResult } from './types.js';
import type { UpstreamState } from './upstream/upstream-state.js';

/** How often a request is sent again because a relay failed or was slow, before the failure counts as that of its upstream. */
const MAX_RELAY_FAILURES = 3;

type ConnectFailed = Extract<AttemptResult, { readonly type: 'connect-failed' }>;

/** Pause after a failed connection to a shard's owner. */
const UNREACHABLE_PAUSE_MILLIS = 50;

export interface AttemptResultsParts {
  readonly context: RouterContext;
  readonly admission: Admission;
  readonly dispatcher: Dispatcher;
  readonly answers: Answers;
  readonly intake: RequestIntake;
  readonly notices: NoticeHandler;
}

export class AttemptResults {
  private readonly context: RouterContext;
  private readonly admission: Admission;
  private readonly dispatcher: Dispatcher;
  private readonly answers: Answers;
  private readonly intake: RequestIntake;
  private readonly notices: NoticeHandler;
  private readonly evidence: AttemptEvidence;

  constructor(parts: AttemptResultsParts) {
    this.context = parts.context;
    this.admission = parts.admission;
    this.dispatcher = parts.dispatcher;
    this.answers = parts.answers;
    this.intake = parts.intake;
    this.notices = parts.notices;
    this.evidence = new AttemptEvidence(parts.context);
  }

  /** Handles the end of an attempt; an unknown attempt is ignored. */
  ended(number: AttemptNumber, result: AttemptResult): void {
    const attempt = this.context.attempts.get(number);
    if (attempt === undefined) {
      return;
    }
    this.context.attempts.delete(number);
    attempt.upstream.inFlight -= 1;
    attempt.group.service.inFlight -= 1;
    this.notices.ended(attempt, result);
    if (result.type === 'connect-failed' && this.isPathInDoubt(attempt, result)) {
      this.judgePath(attempt, result);
      this.dispatcher.drainUpstream(attempt.upstream);
      return;
    }
    this.conclude(attempt, result);
  }

  /** Draws the conclusions from a result about the upstream and for the request. */
  private conclude(attempt: Attempt, result: AttemptResult): void {
    if (result.type === 'broken' && result.how === CONNECTION_BREAKS.relayLost && attempt.via !== null) {
      this.context.paths.relayFailed(attempt.via.router, 'lost');
    }
    this.recordEvidence(attempt, result);
    if (attempt.abandoned) {
      this.dispatcher.drainUpstream(attempt.upstream);
      return;
    }
    attempt.group.attempt = null;
    if (result.type === 'answered') {
      this.context.link?.answered(attempt.group, result.bytes ?? null);
    }
    if (attempt.group.phase === 'done') {
      this.answers.settle(attempt.group, lateSettlement(attempt.group, result));
    } else {
      this.handleResult(attempt, result);
    }
    this.dispatcher.drainUpstream(attempt.upstream);
  }

  /** Cancels an attempt that hangs on a path that was left, and sends its request again over the path in use. */
  resend(attempt: Attempt): void {
    this.detach(attempt);
    this.sendAgain(attempt.group);
  }

  /** Abandons an attempt that can no longer be answered. */
  abandon(attempt: Attempt): void {
    this.detach(attempt);
    this.broken(attempt);
  }

  /** Abandons an attempt at a slow upstream, counts it as a failure of that upstream, and requeues the group. */
  retryElsewhere(attempt: Attempt): void {
    const { group, upstream } = attempt;
    this.evidence.countFailure(attempt);
    this.detach(attempt);
    group.markMayHaveRun();
    group.sentAttempts += 1;
    group.avoid = upstream;
    this.admission.extendWait(group);
    this.dispatcher.requeue(group);
  }

  /** Cancels an attempt; its result no longer affects its group. */
  private detach(attempt: Attempt): void {
    attempt.abandoned = true;
    attempt.group.attempt = null;
    this.context.emit({ type: 'cancel-attempt', attempt: attempt.number });
  }

  /** What fails on a path that was left says nothing about the upstream. */
  private recordEvidence(attempt: Attempt, result: AttemptResult): void {
    const isAnswer = result.type === 'answered' || result.type === 'refused';
    if (isAnswer || !isOnLeftPath(attempt)) {
      this.evidence.recordResult(attempt, result);
    } else if (result.type === 'connect-failed') {
      this.context.crashes.onUnsent(attempt);
    }
  }

  /** Whether a failed connection may be the fault of the path, so that it isn't held against the upstream yet. */
  private isPathInDoubt(attempt: Attempt, { recalled, closedOnAccept }: ConnectFailed): boolean {
    const { abandoned, group, via } = attempt;
    const isOwnDoing = recalled === true || closedOnAccept === true || abandoned || group.phase === 'done';
    return !isOwnDoing && (via !== null || this.context.paths.peers.size > 0);
  }

  /** Holds a request whose connection failed until it is known whether the path or the upstream is to blame. */
  private judgePath(attempt: Attempt, result: ConnectFailed): void {
    const { group, upstream, via } = attempt;
    group.attempt = null;
    if (result.relayFailure !== undefined && via !== null) {
      this.relayFailed(via, upstream, result.relayFailure);
      group.relayFailures += 1;
    }
    if (isOnLeftPath(attempt) && group.relayFailures <= MAX_RELAY_FAILURES) {
      this.sendUnsent(attempt);
      return;
    }
    group.phase = 'held';
    group.service.held.add(group);
    // A single failure may be that of a lost packet or of an upstream that restarts, so the path is tried again first.
    const seen = result.relayFailure === undefined ? null : PATH_OUTCOMES.noRelay;
    this.context.paths.judge(upstream, { seen }, (verdict) => this.onPathVerdict(attempt, result, verdict));
  }

  private relayFailed(relay: RelayPeer, upstream: UpstreamState, failure: RelayFailure): void {
    if (failure === 'no-path') {
      this.context.paths.relayHasNoPath(relay, upstream);
    } else {
      this.context.paths.relayFailed(relay.router, failure);
    }
  }

  private onPathVerdict(attempt: Attempt, result: ConnectFailed, { type }: PathVerdict): void {
    const { group } = attempt;
    group.service.held.delete(group);
    const isPathToBlame =
      type === 'other-path' || isOnLeftPath(attempt) || this.isRelaySlow(attempt, result, type);
    if (!isPathToBlame) {
      this.conclude(attempt, result);
    } else if (group.phase === 'held') {
      this.sendUnsent(attempt);
    } else {
      this.context.crashes.onUnsent(attempt);
    }
  }

  /**
   * Whether a connection over a relay only took too long, as far as the check of its path shows. Such a connection counts as a failure of the
   * relay, and as one of its upstream if that happens too often.
   */
  private isRelaySlow(
    { group, via }: Attempt,
    { relayFailure, refused }: ConnectFailed,
    verdict: PathVerdict['type'],
  ): boolean {
    if (relayFailure === 'lost') {
      return verdict === 'unknown' && group.relayFailures <= MAX_RELAY_FAILURES;
    }
    if (via === null || relayFailure !== undefined || refused === true || verdict !== 'works') {
      return false;
    }
    group.relayFailures += 1;
    return group.relayFailures <= MAX_RELAY_FAILURES;
  }

  /** Sends a request again that wasn't sent because its path failed. This is no retry: nothing reached an upstream. */
  private sendUnsent(attempt: Attempt): void {
    const { group } = attempt;
    this.context.crashes.onUnsent(attempt);
    group.service.queues.find(group.shard)?.resume();
    this.dispatcher.requeue(group);
  }

  /** Sends a repeatable request again that may have reached its upstream over a path that was left. */
  private sendAgain(group: RequestGroup): void {
    group.markMayHaveRun();
    // A request with a key goes to the same upstream again.
    group.sentAttempts += group.shard === null ? 1 : 0;
    group.service.queues.find(group.shard)?.resume();
    this.admission.extendWait(group);
    this.dispatcher.requeue(group);
  }

  private handleResult(attempt: Attempt, result: AttemptResult): void {
    const { group } = attempt;
    switch (result.type) {
      case 'answered':
        group.service.queues.find(group.shard)?.resume();
        if (isUnprovedPromise(group, result.status)) {
          this.broken(attempt);
          return;
        }
        this.deliver(attempt, result);
        return;
      case 'refused':
        this.refused(attempt, result.refusal);
        return;
      case 'connect-failed':
        if (result.recalled === true) {
          this.dispatcher.requeue(group);
          return;
        }
        this.connectFailed(attempt, result.closedOnAccept === true);
        return;
      case 'broken':
      case 'cancelled':
        if (isOnLeftPath(attempt) && mayResend(group)) {
          this.sendAgain(group);
          return;
        }
        this.broken(attempt);
    }
  }

  private deliver(attempt: Attempt, result: AttemptResult & { readonly type: 'answered' }): void {
    for (const member of this.answers.deliver(attempt.group, attempt, result)) {
      this.intake.receiveUnshared(member);
    }
  }

  /** The upstream refused the request before it started. */
  private refused(attempt: Attempt, refusal: FenceRefusal): void {
    const { group, upstream } = attempt;
    group.avoid = upstream;
    group.sentAttempts += 1;
    if (refusal === 'overloaded') {
      this.retryWithinBudget(group);
      return;
    }
    if (group.terms.route !== null) {
      this.holdShard(attempt);
      this.context.lease.requestSync(this.context.now);
      this.retryWithinBudget(group);
      return;
    }
    if (group.shard !== null) {
      this.holdShard(attempt);
    } else if (refusal !== 'draining') {
      this.context.lease.requestSync(this.context.now);
      this.retryWithinBudget(group);
      return;
    }
    this.dispatcher.requeue(group);
  }

  private connectFailed(attempt: Attempt, isAtLimit: boolean): void {
    const { group, upstream } = attempt;
    group.avoid = upstream;
    if (group.shard === null) {
      this.retryWithinBudget(group);
      return;
    }
    // No other upstream may serve the key: wait until the owner is back or another one is named.
    const pause = isAtLimit ? estimateSlotMillis(upstream) : UNREACHABLE_PAUSE_MILLIS;
    upstream.pausedUntil = Math.max(upstream.pausedUntil, this.context.now + pause);
    this.holdShard(attempt);
    this.dispatcher.requeue(group);
  }

  private broken(attempt: Attempt): void {
    const { group, upstream } = attempt;
    group.markMayHaveRun();
    group.sentAttempts += 1;
    group.avoid = upstream;
    if (!group.isRepeatable) {
      this.answers.refuseGroup(group, 'upstream-failed', null);
      return;
    }
    if (group.shard !== null) {
      this.holdShard(attempt);
    }
    this.admission.extendWait(group);
    this.retryWithinBudget(group);
  }

  /** Pauses a shard's queue and requests a configuration sync, unless the owner has changed since the attempt was sent. */
  private holdShard(attempt: Attempt): void {
    const { context } = this;
    const { shard, service } = attempt.group;
    if (shard === null) {
      return;
    }
    const owner = context.ownerOf(shard);
    if (owner !== undefined && owner.epoch !== attempt.grant?.epoch) {
      return;
    }
    service.queues.obtain(shard, owner?.upstream.id ?? null).pause(context.now);
    context.lease.requestSync(context.now);
  }

  private retryWithinBudget(group: RequestGroup): void {
    if (this.admission.refuseBlocked(group)) {
      return;
    }
    if (group.sentAttempts >= group.terms.maxAttempts) {
      this.answers.refuseGroup(group, 'attempts-spent', this.admission.retryAfter(group));
      return;
    }
    if (!isHotKeyRank(group.rank) && group.service.retryBudget.tryRetry()) {
      this.dispatcher.requeue(group);
      return;
    }
    this.answers.refuseGroup(group, 'retry-budget-spent', this.admission.retryAfter(group));
  }
}

/**
 * Whether an upstream's answer, passed on, would promise that a request hasn't run which may have: had its upstream marked it, it would be a
 * refusal. Callers addressed to a service are told by a header, and those of repeatable requests lose nothing.
 */
function isUnprovedPromise({ terms, isRepeatable }: RequestGroup, status: number): boolean {
  return terms.route !== null && !isRepeatable && promisesNotRun(status);
}

/** Estimates how long a busy upstream takes to free a slot. */
function estimateSlotMillis({ serviceMillis, slotLimit }: UpstreamState): number {
  return Math.max(UNREACHABLE_PAUSE_MILLIS, serviceMillis / slotLimit.totalSlots);
}

/** Returns the settlement of a group whose last member left before the attempt ended; the ledger still needs the outcome. */
function lateSettlement(group: RequestGroup, result: AttemptResult): Settlement {
  if (result.type === 'answered') {
    return { outcome: 'ran', answer: result.stored };
  }
  const isProvenNotRun = result.type === 'refused' || result.type === 'connect-failed';
  const outcome = isProvenNotRun && !group.mayHaveRun ? 'not-run' : 'unknown';
  return { outcome, answer: null };
}
