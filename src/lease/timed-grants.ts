/**
 * Bounds how long a server may hold timed grants. Such a server measures a grant's duration from its arrival and doesn't
 * report its clock, so the bound depends only on when grants were sent and which of them were answered.
 *
 * The duration of an answered grant begins at its answer at the latest. A grant that was written to a connection and has no answer may
 * have been read, and may still be accepted much later, also by a server that is never heard again: it may be cut off.
 */
import type { MonotonicMillis } from '../model/identifiers.js';
import { type KeySpan, MAX_KEY, overlaps } from '../model/key-range.js';

export interface TimedGrantTimings {
  /** Duration of a grant from its arrival. */
  readonly holdMillis: number;
  /** Interval between two renewals. */
  readonly renewMillis: number;
  /** Maximum time after which an unanswered grant may still be accepted. */
  readonly lateMillis: number;
  /** Maximum relative error by which a server's clock may be slow. */
  readonly clockRateError: number;
}

export const DEFAULT_TIMED_GRANT_TIMINGS: TimedGrantTimings = {
  holdMillis: 6000,
  renewMillis: 1000,
  lateMillis: 12_000,
  clockRateError: 0.02,
};

/** Returns the maximum duration of a grant on the granter's clock. */
export function longestHoldMillis({ holdMillis, clockRateError }: TimedGrantTimings): number {
  return holdMillis * (1 + clockRateError);
}

/** Maximum time for which a deposed granter may still send after the election of its successor. */
export const DEPOSED_GRANTER_MILLIS = 500;

/**
 * Returns how long after a granter's last grant, or after the election of its successor, some server may still hold one, whatever it
 * answered.
 */
export function longestGrantMillis(timings: TimedGrantTimings): number {
  return DEPOSED_GRANTER_MILLIS + timings.lateMillis + longestHoldMillis(timings);
}

interface SentCall {
  readonly sentAt: MonotonicMillis;
  /** The keys that the call grants; `null` if it grants none. */
  readonly granted: KeySpan | null;
}

/** A grant, and the latest time at which it may be held, whether it was answered or may be accepted late. */
interface BoundedGrant extends KeySpan {
  readonly heldUntil: MonotonicMillis;
}

/** Grants beyond this many that have expired are dropped. */
const MAX_EXPIRED_GRANTS = 64;

const ALL_KEYS: KeySpan = { from: 0, to: MAX_KEY };

/** Calls to one server and their outcomes, which bound how long the server may hold grants. */
export class HolderHistory {
  readonly #openCalls = new Map<number, SentCall>();
  /** Bound of what the previous granter sent, and of other means, for all keys. */
  #heldUntil: MonotonicMillis;
  /** Grants of this granter by their keys. */
  readonly #grants = new Map<string, BoundedGrant>();
  /** Number of grants after the last that expired were dropped. */
  #currentGrants = 0;
  #silentSince: MonotonicMillis | null = null;
  #failingSince: MonotonicMillis | null = null;
  #failedAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  #heardAt: MonotonicMillis = Number.NEGATIVE_INFINITY;

  /** `since`: another granter may have sent unknown grants until then, which count as unanswered. */
  constructor(
    private readonly timings: TimedGrantTimings,
    since: MonotonicMillis,
  ) {
    this.#heldUntil = since + longestGrantMillis(timings);
  }

  /** Returns the latest time at which the server may hold a grant of some of these keys; of any keys if they are omitted. */
  heldUntil(keys: KeySpan = ALL_KEYS): MonotonicMillis {
    const sent = [...this.#grants.values()].filter((grant) => overlaps(grant, keys));
    const open = [...this.#openCalls.values()].filter(
      ({ granted }) => granted !== null && overlaps(granted, keys),
    );
    const longestHold = longestHoldMillis(this.timings);
    return Math.max(
      this.#heldUntil,
      ...sent.map(({ heldUntil }) => heldUntil),
      ...open.map(({ sentAt }) => sentAt + longestHold),
    );
  }

  /** Whether there are calls in progress. */
  get hasOpenCalls(): boolean {
    return this.#openCalls.size > 0;
  }

  /** Start of the current period without a sign of life; `null` if the server answered the last ended call or has contacted the granter since. */
  get silentSince(): MonotonicMillis | null {
    return this.#silentSince;
  }

  /** Start of the current period of failed calls, regardless of contact by the server; `null` if the last ended call was answered. */
  get failingSince(): MonotonicMillis | null {
    return this.#failingSince;
  }

  /** Time of the last failed call; `-Infinity` if a call was answered since. */
  get failedAt(): MonotonicMillis {
    return this.#failedAt;
  }

  /** Time of the last answered call or the last contact by the server; `-Infinity` if there was none. */
  get heardAt(): MonotonicMillis {
    return this.#heardAt;
  }

  /** Records contact initiated by the server: it is alive, so calls should be retried. */
  recordContact(now: MonotonicMillis): void {
    this.#silentSince = null;
    this.#heardAt = now;
  }

  /** Records an answer to a question, which ends the silence. It is no contact: a server that answers only questions is granted nothing. */
  recordQuestionAnswer(): void {
    this.#silentSince = null;
  }

  /** Records that a question had no answer. */
  recordQuestionFailure(askedAt: MonotonicMillis, now: MonotonicMillis): void {
    this.#recordFailure(askedAt, now);
  }

  /** Records that a call was sent, and the keys that it grants, if any. */
  recordSent(call: number, granted: KeySpan | null, now: MonotonicMillis): void {
    this.#openCalls.set(call, { sentAt: now, granted });
  }

  /** Records an answer with any content. */
  recordAnswer(call: number, now: MonotonicMillis): void {
    const sent = this.#openCalls.get(call);
    this.#openCalls.delete(call);
    if (sent === undefined) {
      return;
    }
    this.recordContact(now);
    this.#failingSince = null;
    this.#failedAt = Number.NEGATIVE_INFINITY;
    if (sent.granted !== null) {
      this.#recordGrant(sent.granted, now + longestHoldMillis(this.timings), now);
    }
  }

  /** Records that a call was written and had no timely answer. */
  recordNoAnswer(call: number, now: MonotonicMillis): void {
    const sent = this.#openCalls.get(call);
    this.#openCalls.delete(call);
    if (sent === undefined) {
      return;
    }
    this.#recordFailure(sent.sentAt, now);
    if (sent.granted !== null) {
      const lateUntil = sent.sentAt + this.timings.lateMillis + longestHoldMillis(this.timings);
      this.#recordGrant(sent.granted, lateUntil, now);
    }
  }

  /** Records that no connection was established for a call. */
  recordNotSent(call: number, now: MonotonicMillis): void {
    const sent = this.#openCalls.get(call);
    this.#openCalls.delete(call);
    if (sent !== undefined) {
      this.#recordFailure(sent.sentAt, now);
    }
  }

  /** Discards a call that the granter itself didn't send. */
  discardCall(call: number): void {
    this.#openCalls.delete(call);
  }

  #recordGrant({ from, to }: KeySpan, heldUntil: MonotonicMillis, now: MonotonicMillis): void {
    const name = `${from}-${to}`;
    const before = this.#grants.get(name)?.heldUntil ?? Number.NEGATIVE_INFINITY;
    this.#grants.set(name, { from, to, heldUntil: Math.max(before, heldUntil) });
    if (this.#grants.size > this.#currentGrants + MAX_EXPIRED_GRANTS) {
      this.#dropExpired(now);
    }
  }

  #dropExpired(now: MonotonicMillis): void {
    for (const [name, { heldUntil }] of this.#grants) {
      if (heldUntil <= now) {
        this.#grants.delete(name);
      }
    }
    this.#currentGrants = this.#grants.size;
  }

  #recordFailure(sentAt: MonotonicMillis, now: MonotonicMillis): void {
    this.#silentSince ??= sentAt;
    this.#failingSince ??= sentAt;
    this.#failedAt = now;
  }

  /** Extends the bound of all keys to `end`. */
  extendHoldUntil(end: MonotonicMillis): void {
    this.#heldUntil = Math.max(this.#heldUntil, end);
  }
}
