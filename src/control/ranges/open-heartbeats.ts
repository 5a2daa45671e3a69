/** Tracks heartbeats of one service's upstreams that wait for their response, and when the next ones are expected. */
import type { GrantedKeys } from '../../model/held-keys.js';
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';

/**
 * Longest wait of a heartbeat for an update that concerns its upstream. Its sender times out after one second, and
 * its holds are not renewed meanwhile.
 */
export const MAX_WAIT_MILLIS = 600;

/** A heartbeat that is overdue by at most this is still expected soon. */
const LATE_SLACK_MILLIS = 100;

/** Answers a heartbeat; `null` renews nothing. */
export type AnswerHeartbeat = (keys: GrantedKeys | null, now: MonotonicMillis) => void;

interface OpenHeartbeat {
  readonly openedAt: MonotonicMillis;
  readonly answer: AnswerHeartbeat;
}

export class OpenHeartbeats {
  readonly #open = new Map<UpstreamId, OpenHeartbeat>();
  /** Time of each upstream's last heartbeat. */
  readonly #lastSeenAt = new Map<UpstreamId, MonotonicMillis>();

  /** `heartbeatMillis` is the usual time between two heartbeats of an upstream. */
  constructor(private readonly heartbeatMillis: number) {}

  /**
   * Adds an in-order heartbeat. One of the same upstream that is still open is answered without keys: its sender no
   * longer waits for it.
   */
  open(upstream: UpstreamId, answer: AnswerHeartbeat, now: MonotonicMillis): void {
    this.#open.get(upstream)?.answer(null, now);
    this.#open.set(upstream, { openedAt: now, answer });
    this.#lastSeenAt.set(upstream, now);
  }

  has(upstream: UpstreamId): boolean {
    return this.#open.has(upstream);
  }

  upstreams(): UpstreamId[] {
    return [...this.#open.keys()];
  }

  /** Returns how much longer a heartbeat may wait; 0 if none is open or its time is up. */
  remainingWait(upstream: UpstreamId, now: MonotonicMillis): number {
    const open = this.#open.get(upstream);
    return open === undefined ? 0 : Math.max(0, open.openedAt + MAX_WAIT_MILLIS - now);
  }

  /** Returns whether the next heartbeat is expected within this time. */
  isExpected(upstream: UpstreamId, withinMillis: number, now: MonotonicMillis): boolean {
    const lastSeenAt = this.#lastSeenAt.get(upstream);
    const wait =
      lastSeenAt === undefined ? Number.POSITIVE_INFINITY : lastSeenAt + this.heartbeatMillis - now;
    return wait >= -LATE_SLACK_MILLIS && wait <= withinMillis;
  }

  close(upstream: UpstreamId, keys: GrantedKeys | null, now: MonotonicMillis): void {
    const open = this.#open.get(upstream);
    this.#open.delete(upstream);
    open?.answer(keys, now);
  }

  /** Time at which the first open heartbeat reaches its longest wait. */
  nextDeadline(): MonotonicMillis {
    const ends = [...this.#open.values()].map(({ openedAt }) => openedAt + MAX_WAIT_MILLIS);
    return ends.reduce((first, next) => Math.min(first, next), Number.POSITIVE_INFINITY);
  }

  /** Drops upstreams that no longer exist. */
  keepOnly(isKnown: (upstream: UpstreamId) => boolean): void {
    for (const upstream of this.#lastSeenAt.keys()) {
      if (!isKnown(upstream)) {
        this.#lastSeenAt.delete(upstream);
      }
    }
  }
}
