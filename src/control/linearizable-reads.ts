/**
 * Linearizable reads of one control member. Each read waits until the Raft core returns its read index, and then until the registry
 * has applied that index.
 */
import type { MonotonicMillis, Revision } from '../model/identifiers.js';

/** `true`: linearizable as of the request. `false`: no leader confirmed it. */
export type SettleRead = (confirmed: boolean, now: MonotonicMillis) => void;

/** A read that isn't confirmed yet. */
interface PendingRead {
  readonly expiresAt: MonotonicMillis;
  readonly settle: SettleRead;
}

/** A confirmed read, which needs a registry with all entries up to `index`. */
interface ConfirmedRead {
  readonly index: Revision;
  readonly settle: SettleRead;
}

export class LinearizableReads {
  readonly #pending = new Map<number, PendingRead>();
  #confirmed: ConfirmedRead[] = [];

  /** Reads that aren't confirmed within `timeoutMillis` fail. */
  constructor(private readonly timeoutMillis: number) {}

  /** Begins a read; the Raft core refers to it by `readId`. */
  begin(readId: number, now: MonotonicMillis, settle: SettleRead): void {
    this.#pending.set(readId, { expiresAt: now + this.timeoutMillis, settle });
  }

  /** Handles the confirmation of a read as of `index` by a leader; `revision` is the current one of the registry. */
  confirm(readId: number, index: Revision, revision: Revision, now: MonotonicMillis): void {
    const read = this.#pending.get(readId);
    this.#pending.delete(readId);
    if (read !== undefined) {
      this.#confirmed.push({ index, settle: read.settle });
      this.release(revision, now);
    }
  }

  /** Settles the confirmed reads that a registry at `revision` can answer. */
  release(revision: Revision, now: MonotonicMillis): void {
    const ready = this.#confirmed.filter((read) => read.index <= revision);
    this.#confirmed = this.#confirmed.filter((read) => read.index > revision);
    for (const read of ready) {
      read.settle(true, now);
    }
  }

  /** Fails a read that no leader confirmed. */
  fail(readId: number, now: MonotonicMillis): void {
    const read = this.#pending.get(readId);
    this.#pending.delete(readId);
    read?.settle(false, now);
  }

  /** Fails the reads that timed out. */
  expire(now: MonotonicMillis): void {
    for (const [readId, read] of [...this.#pending]) {
      if (now >= read.expiresAt) {
        this.fail(readId, now);
      }
    }
  }

  /** When the next read times out. */
  nextDeadline(): MonotonicMillis {
    return Math.min(...[...this.#pending.values()].map((read) => read.expiresAt));
  }
}
