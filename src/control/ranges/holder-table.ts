/** Tracks upstreams that accept plain grants by the leader's calls to them and by their heartbeats. */
import { HolderHistory, type TimedGrantTimings } from '../../lease/timed-grants.js';
import type { Incarnation, MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import type { KeySpan } from '../../model/key-range.js';
import type { IdentityAnswer } from '../identity-question.js';
import { FREE_PROOFS, type FreeProof } from './free-proof.js';
import type { HolderCall, HolderOutcome } from './holder-call.js';

/** An owner counts as lost only after its calls fail for this long, even if its heartbeats arrive. */
const LOST_AFTER_MILLIS = 1500;

/**
 * An upstream that calls do not reach is assigned no further keys, even if its heartbeats arrive: the keys would have
 * an owner that cannot be notified. After the last failed call, and once none of its grants can be held, it is backed
 * off for as long as its calls failed, within these bounds. A successful call ends the back-off at once.
 */
const MIN_BACKOFF_MILLIS = 5000;
const MAX_BACKOFF_MILLIS = 60_000;

/** Minimum time between the starts of two questions to an upstream that left the first one unanswered. */
const QUESTION_GAP_MILLIS = 500;

/** A question to an upstream's address whether its run is there, which grants nothing. */
export interface HolderQuestion {
  readonly upstream: UpstreamId;
  /** Run that the upstream was recorded with. */
  readonly run: Incarnation | null;
  readonly askedAt: MonotonicMillis;
}

interface Holder {
  readonly history: HolderHistory;
  /** Another run answered at the upstream's address. */
  hasEnded: boolean;
  /** The connection of the last finished call was refused. */
  isConnectionRefused: boolean;
  /** Run that the last failed call was addressed to. */
  failedRun: Incarnation | null;
  lastSeenAt: MonotonicMillis;
  /** Start of the last question. */
  askedAt: MonotonicMillis;
  /** Start of the first question since the last heartbeat or answered call; `null` if there is none. */
  askedSince: MonotonicMillis | null;
  /** The last question has no outcome yet. */
  isAsked: boolean;
  /** Time of the last answer to a question that showed that the upstream is there. */
  presentAt: MonotonicMillis;
  /** The last question had no answer, and nothing was heard since. */
  isAbsent: boolean;
}

export class HolderTable {
  readonly #holders = new Map<UpstreamId, Holder>();

  /** `since` is the start of this leadership. */
  constructor(
    private readonly timings: TimedGrantTimings,
    private readonly since: MonotonicMillis,
    /** Returns the run an upstream is recorded with. */
    private readonly runOf: (upstream: UpstreamId) => Incarnation | null = () => null,
  ) {}

  onCallSent(call: HolderCall, now: MonotonicMillis): void {
    const { from, to } = call;
    const granted = call.kind === 'grant' ? { from, to } : null;
    this.#holderOf(call.upstream).history.recordSent(call.id, granted, now);
  }

  /**
   * Records the outcome of a call. For a call to an earlier run, the outcome `ended` shows nothing about the current
   * run except that the call was not taken.
   */
  onCallEnd(call: HolderCall, outcome: HolderOutcome, now: MonotonicMillis): void {
    const holder = this.#holderOf(call.upstream);
    const current = this.runOf(call.upstream);
    if (outcome.type === 'ended' && current !== null && call.run !== current) {
      holder.history.recordNotSent(call.id, now);
      holder.history.recordContact(now);
      return;
    }
    holder.isConnectionRefused = outcome.type === 'refused';
    switch (outcome.type) {
      case 'accepted':
      case 'superseded':
        holder.history.recordAnswer(call.id, now);
        holder.lastSeenAt = now;
        this.#recordHeard(holder);
        break;
      case 'rejected':
      case 'silent':
        // Whether the upstream accepted the call is unknown, whichever process responded.
        holder.history.recordNoAnswer(call.id, now);
        holder.failedRun = call.run;
        break;
      case 'unbound':
        holder.history.discardCall(call.id);
        break;
      case 'refused':
      case 'not-sent':
        holder.history.recordNotSent(call.id, now);
        holder.failedRun = call.run;
        break;
      case 'ended':
        holder.history.recordNotSent(call.id, now);
        holder.hasEnded = true;
        break;
    }
  }

  /** Records a heartbeat. */
  onHeartbeat(upstream: UpstreamId, now: MonotonicMillis): void {
    const holder = this.#holderOf(upstream);
    holder.lastSeenAt = now;
    this.#recordHeard(holder);
    holder.history.recordContact(now);
  }

  #recordHeard(holder: Holder): void {
    holder.askedSince = null;
    holder.isAbsent = false;
    holder.hasEnded = false;
  }

  /** Returns whether a question may go to an upstream now: one at a time, and seldom to one that doesn't answer. */
  mayAsk(upstream: UpstreamId, now: MonotonicMillis): boolean {
    const { isAsked, isAbsent, askedAt } = this.#holderOf(upstream);
    return !isAsked && (!isAbsent || now - askedAt >= QUESTION_GAP_MILLIS);
  }

  /** Records that a question goes out; `onQuestionEnd` takes what this returns. */
  onQuestionSent(upstream: UpstreamId, now: MonotonicMillis): HolderQuestion {
    const holder = this.#holderOf(upstream);
    holder.isAsked = true;
    holder.askedAt = now;
    holder.askedSince ??= now;
    return { upstream, run: this.runOf(upstream), askedAt: now };
  }

  /**
   * Records the outcome of a question. Only the refusal of a request that names the run proves its end, as with calls; a name of another
   * run in an answer may come from a device on the path.
   */
  onQuestionEnd(question: HolderQuestion, answer: IdentityAnswer, now: MonotonicMillis): void {
    const { upstream, run, askedAt } = question;
    const holder = this.#holderOf(upstream);
    const { history } = holder;
    holder.isAsked = false;
    if (run !== this.runOf(upstream) || history.heardAt > askedAt) {
      return;
    }
    if (answer.type === 'another') {
      holder.hasEnded = true;
    } else if (answer.type === 'named' && answer.upstream === upstream) {
      holder.isAbsent = false;
      holder.presentAt = now;
      history.recordQuestionAnswer();
    } else {
      holder.isAbsent = true;
      holder.failedRun = run;
      history.recordQuestionFailure(askedAt, now);
    }
  }

  /** Time of the last answer to a question that showed that the upstream is there; `-Infinity` if there was none. */
  presentAt(upstream: UpstreamId): MonotonicMillis {
    return this.#holderOf(upstream).presentAt;
  }

  /** Start of this leadership. */
  get leadingSince(): MonotonicMillis {
    return this.since;
  }

  /** Time of the last heartbeat or answered call in this leadership; `-Infinity` if there was none. */
  heardAt(upstream: UpstreamId): MonotonicMillis {
    return this.#holderOf(upstream).history.heardAt;
  }

  /**
   * Returns whether a call would fail now, because the run has ended, it left the last question unanswered, or calls to it fail. Such an
   * upstream is assigned no keys.
   */
  isUnreachable(upstream: UpstreamId, now: MonotonicMillis): boolean {
    const holder = this.#holders.get(upstream);
    if (holder === undefined || holder.hasEnded || holder.isAbsent) {
      return holder !== undefined;
    }
    const { failingSince, failedAt } = holder.history;
    if (failingSince === null || holder.failedRun !== this.runOf(upstream)) {
      return false;
    }
    const failedMillis = failedAt - failingSince;
    const backoffMillis = Math.min(MAX_BACKOFF_MILLIS, Math.max(MIN_BACKOFF_MILLIS, failedMillis));
    const isUnusable = holder.isConnectionRefused || failedMillis >= LOST_AFTER_MILLIS;
    return isUnusable && now - Math.max(failedAt, holder.history.heldUntil()) < backoffMillis;
  }

  /** Returns whether the run is proved to have ended. */
  hasEnded(upstream: UpstreamId): boolean {
    return this.#holders.get(upstream)?.hasEnded ?? false;
  }

  /**
   * Returns the proof that an owner lost these keys: its run has ended, or calls to it fail or it isn't heard, and its grants of them
   * have expired. Returns `null` if it has not lost them.
   */
  lossProof(upstream: UpstreamId, keys: KeySpan, now: MonotonicMillis): FreeProof | null {
    const holder = this.#holderOf(upstream);
    const isLost = holder.hasEnded || isFailing(holder, now) || isUnheard(holder, now);
    return isLost ? this.freeProof(upstream, keys, now) : null;
  }

  /** Returns the proof that the upstream holds none of these keys, or `null` if it may hold some. */
  freeProof(upstream: UpstreamId, keys: KeySpan, now: MonotonicMillis): FreeProof | null {
    if (this.hasEnded(upstream)) {
      return FREE_PROOFS.runEnded;
    }
    const heldUntil = this.#holderOf(upstream).history.heldUntil(keys);
    return now < heldUntil ? null : FREE_PROOFS.bound;
  }

  /** Since when the upstream leaves calls unanswered; `null` if it responds. */
  silentSince(upstream: UpstreamId): MonotonicMillis | null {
    return this.#holders.get(upstream)?.history.silentSince ?? null;
  }

  /** Returns whether the upstream responds to calls. */
  isResponsive(upstream: UpstreamId): boolean {
    return !this.hasEnded(upstream) && this.silentSince(upstream) === null;
  }

  /** Returns whether a call to the upstream is open. */
  hasOpenCalls(upstream: UpstreamId): boolean {
    return this.#holders.get(upstream)?.history.hasOpenCalls ?? false;
  }

  /** Time of the last sign of life, or the start of this leadership. */
  lastSeenAt(upstream: UpstreamId): MonotonicMillis {
    return this.#holderOf(upstream).lastSeenAt;
  }

  /** Records that the upstream may hold keys until `end` by other means than calls. */
  extendHold(upstream: UpstreamId, end: MonotonicMillis): void {
    this.#holderOf(upstream).history.extendHoldUntil(end);
  }

  /** Drops an upstream that no longer exists. */
  drop(upstream: UpstreamId): void {
    this.#holders.delete(upstream);
  }

  #holderOf(upstream: UpstreamId): Holder {
    const existing = this.#holders.get(upstream);
    if (existing !== undefined) {
      return existing;
    }
    const history = new HolderHistory(this.timings, this.since);
    const created = {
      history,
      hasEnded: false,
      isConnectionRefused: false,
      failedRun: null,
      lastSeenAt: this.since,
      askedAt: Number.NEGATIVE_INFINITY,
      askedSince: null,
      isAsked: false,
      presentAt: Number.NEGATIVE_INFINITY,
      isAbsent: false,
    };
    this.#holders.set(upstream, created);
    return created;
  }
}

/**
 * Returns whether calls have been failing for long and until recently: an upstream that was backed off meanwhile must
 * be called again before it counts as lost.
 */
function isFailing({ history }: Holder, now: MonotonicMillis): boolean {
  const { failingSince, failedAt } = history;
  const isLong = failingSince !== null && now - failingSince >= LOST_AFTER_MILLIS;
  return isLong && now - failedAt < MIN_BACKOFF_MILLIS;
}

/** Returns whether an upstream was asked for long and wasn't heard since: a leader that was paused must give it time first. */
function isUnheard({ askedSince }: Holder, now: MonotonicMillis): boolean {
  return askedSince !== null && now - askedSince >= LOST_AFTER_MILLIS;
}
