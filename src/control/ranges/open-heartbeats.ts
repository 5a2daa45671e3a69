/** Heartbeats of one service's upstreams that wait for their answer, and when the next ones are expected. */
import type { GrantedKeys } from '../../model/held-keys.js';
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';

/**
 * Longest wait of a heartbeat for news that concerns its upstream. Its sender gives up a second after it sent it, and what
 * it holds is not renewed meanwhile.
 */
export const LONGEST_WAIT_MILLIS = 600;

/** A heartbeat that is overdue by no more than this is still expected soon. */
const LATE_SLACK_MILLIS = 100;

/** Answers a heartbeat; `null`: nothing is renewed. */
export type AnswerHeartbeat = (keys: GrantedKeys | null, now: MonotonicMillis) => void;

interface OpenHeartbeat {
  readonly openedAt: MonotonicMillis;
  readonly answer: AnswerHeartbeat;
}

export class OpenHeartbeats {
  readonly #open = new Map<UpstreamId, OpenHeartbeat>();
  /** When each upstream was heard last. */
  readonly #heardAt = new Map<UpstreamId, MonotonicMillis>();

  /** `heartbeatMillis`: usual time between two heartbeats of an upstream. */
  constructor(private readonly heartbeatMillis: number) {}

  /** A heartbeat came in order. One that is still open is given up: its sender doesn't wait for it any more. */
  open(upstream: UpstreamId, answer: AnswerHeartbeat, now: MonotonicMillis): void {
    this.#open.get(upstream)?.answer(null, now);
    this.#open.set(upstream, { openedAt: now, answer });
    this.#heardAt.set(upstream, now);
  }

  has(upstream: UpstreamId): boolean {
    return this.#open.has(upstream);
  }

  upstreams(): UpstreamId[] {
    return [...this.#open.keys()];
  }

  /** How much longer a heartbeat may wait; 0 if none is open or it waited for long. */
  patienceOf(upstream: UpstreamId, now: MonotonicMillis): number {
    const open = this.#open.get(upstream);
    return open === undefined ? 0 : Math.max(0, open.openedAt + LONGEST_WAIT_MILLIS - now);
  }

  /** Whether the next heartbeat is expected within this time. */
  isExpected(upstream: UpstreamId, withinMillis: number, now: MonotonicMillis): boolean {
    const heardAt = this.#heardAt.get(upstream);
    const wait = heardAt === undefined ? Number.POSITIVE_INFINITY : heardAt + this.heartbeatMillis - now;
    return wait >= -LATE_SLACK_MILLIS && wait <= withinMillis;
  }

  close(upstream: UpstreamId, keys: GrantedKeys | null, now: MonotonicMillis): void {
    const open = this.#open.get(upstream);
    this.#open.delete(upstream);
    open?.answer(keys, now);
  }

  /** When the next heartbeat has waited for as long as it may. */
  nextDeadline(): MonotonicMillis {
    const ends = [...this.#open.values()].map(({ openedAt }) => openedAt + LONGEST_WAIT_MILLIS);
    return ends.reduce((first, next) => Math.min(first, next), Number.POSITIVE_INFINITY);
  }

  /** Forgets upstreams that are gone. */
  keepOnly(isKnown: (upstream: UpstreamId) => boolean): void {
    for (const upstream of this.#heardAt.keys()) {
      if (!isKnown(upstream)) {
        this.#heardAt.delete(upstream);
      }
    }
  }
}
