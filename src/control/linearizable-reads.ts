/**
 * Linearizable reads of one control member: each waits until the Raft core names the index that it must see, and then
 * until the registry holds that.
 */
import type { MonotonicMillis, Revision } from '../model/identifiers.js';

/** `true`: linearizable as of the request. `false`: no leader confirmed it. */
export type SettleRead = (confirmed: boolean, now: MonotonicMillis) => void;

/** Not confirmed yet. */
interface PendingRead {
  readonly expiresAt: MonotonicMillis;
  readonly settle: SettleRead;
}

/** Confirmed, for a registry that holds all up to `index`. */
interface ConfirmedRead {
  readonly index: Revision;
  readonly settle: SettleRead;
}

export class LinearizableReads {
  readonly #pending = new Map<number, PendingRead>();
  #confirmed: ConfirmedRead[] = [];

  /** Reads that aren't confirmed within `timeoutMillis` count as failed. */
  constructor(private readonly timeoutMillis: number) {}

  /** Begins a read under the number by which the Raft core will name it. */
  begin(readId: number, now: MonotonicMillis, settle: SettleRead): void {
    this.#pending.set(readId, { expiresAt: now + this.timeoutMillis, settle });
  }

  /** A leader confirmed the read as of `index`; `revision`: what the registry holds now. */
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

  /** Settles a read that no leader confirmed. */
  fail(readId: number, now: MonotonicMillis): void {
    const read = this.#pending.get(readId);
    this.#pending.delete(readId);
    read?.settle(false, now);
  }

  /** Fails the reads whose time is up. */
  expire(now: MonotonicMillis): void {
    for (const [readId, read] of [...this.#pending]) {
      if (now >= read.expiresAt) {
        this.fail(readId, now);
      }
    }
  }

  /** When the next read's time is up. */
  nextDeadline(): MonotonicMillis {
    return Math.min(...[...this.#pending.values()].map((read) => read.expiresAt));
  }
}
