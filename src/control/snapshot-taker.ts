/** Takes snapshots of the registry in slices between other work, and tells those who asked for one when it is taken. */
import type { MonotonicMillis, Revision } from '../model/identifiers.js';
import type { Registry, RegistrySnapshotEncoder } from '../registry/types.js';
import type { RaftAdapter } from './raft-adapter.js';

/** Least time between two slices, which leaves the member to its other work. */
const PAUSE_MILLIS = 5;
/** A snapshot is due once the log holds this share of as many entries as the state has records, or more. */
const RECORDS_SHARE = 0.25;

export interface SnapshotTakerParts {
  readonly raft: RaftAdapter;
  /** Least entries between two snapshots. */
  readonly snapshotEntries: number;
  /** Index of the snapshot that the member started from; 0: none. */
  readonly snapshotIndex: Revision;
}

export class SnapshotTaker {
  readonly #parts: SnapshotTakerParts;
  /** Index of the last snapshot, or of the one that is being taken. */
  #snapshotIndex: Revision;
  #encoder: RegistrySnapshotEncoder | null = null;
  #nextSliceAt: MonotonicMillis = Number.POSITIVE_INFINITY;
  #waiting: (() => void)[] = [];

  constructor(parts: SnapshotTakerParts) {
    this.#parts = parts;
    this.#snapshotIndex = parts.snapshotIndex;
  }

  /** Begins a snapshot if there is something new; calls back once it is taken. */
  request(now: MonotonicMillis, taken: () => void): void {
    if (this.#encoder === null && this.#registry.revision <= this.#snapshotIndex) {
      taken();
      return;
    }
    this.#waiting.push(taken);
    if (this.#encoder === null) {
      this.#begin(now);
    }
  }

  /** The registry was replaced by that of the leader's snapshot. */
  restored(): void {
    this.#snapshotIndex = this.#registry.revision;
    this.#end();
  }

  /** Begins a snapshot that is due, and writes one slice if it is time. True: one was handed to Raft. */
  run(now: MonotonicMillis): boolean {
    if (this.#encoder === null && this.#isDue()) {
      this.#begin(now);
    }
    if (this.#encoder === null || now < this.#nextSliceAt) {
      return false;
    }
    const data = this.#encoder.step();
    if (data === null) {
      this.#nextSliceAt = now + PAUSE_MILLIS;
      return false;
    }
    this.#parts.raft.feed({ type: 'snapshot-taken', lastIndex: this.#encoder.revision, data });
    this.#end();
    return true;
  }

  nextDeadline(): MonotonicMillis {
    return this.#nextSliceAt;
  }

  get #registry(): Registry {
    return this.#parts.raft.registry;
  }

  #isDue(): boolean {
    const { revision, recordCount } = this.#registry;
    const entries = Math.max(this.#parts.snapshotEntries, recordCount * RECORDS_SHARE);
    return revision - this.#snapshotIndex >= entries;
  }

  #begin(now: MonotonicMillis): void {
    this.#encoder = this.#registry.beginEncode();
    this.#snapshotIndex = this.#encoder.revision;
    this.#nextSliceAt = now;
  }

  #end(): void {
    this.#encoder = null;
    this.#nextSliceAt = Number.POSITIVE_INFINITY;
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const taken of waiting) {
      taken();
    }
  }
}
