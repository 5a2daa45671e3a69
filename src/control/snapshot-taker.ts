/** Takes snapshots of the registry in slices between other work, and calls back the requesters of a snapshot once it is taken. */
import type { MonotonicMillis, Revision } from '../model/identifiers.js';
import type { Registry, RegistrySnapshotEncoder } from '../registry/types.js';
import type { RaftAdapter } from './raft-adapter.js';

/** Minimum time between two slices, so that the member can do other work. */
const SLICE_PAUSE_MILLIS = 5;
/** A snapshot is due once the log has grown by at least this many entries for each record in the registry. */
const ENTRIES_PER_RECORD = 0.25;
/**
 * Log bytes after which a snapshot is due. What a restarting or a new replica reads and applies is bounded by them: entries take some 6 MB
 * a second to apply, and a new replica has no vote before.
 */
export const DEFAULT_SNAPSHOT_BYTES = 2 * 1024 * 1024;
/** Log bytes for each byte of the previous snapshot, if that is more: a large state isn't written again for each small change. */
const LOG_BYTES_PER_SNAPSHOT_BYTE = 4;

export interface SnapshotTakerParts {
  readonly raft: RaftAdapter;
  /** Minimum number of log entries between two snapshots. */
  readonly snapshotEntries: number;
  /** Minimum bytes of log entries after which a snapshot is due, however few the entries are. */
  readonly snapshotBytes: number;
  /** Index of the snapshot from which the member started; 0: none. */
  readonly snapshotIndex: Revision;
  /** Size of that snapshot in bytes. */
  readonly previousBytes: number;
}

export class SnapshotTaker {
  readonly #parts: SnapshotTakerParts;
  /** Index of the last snapshot, or of the one in progress. */
  #snapshotIndex: Revision;
  /** Size of the last snapshot. */
  #previousBytes: number;
  /** Bytes of entries that had been applied when the last snapshot, or the one in progress, began. */
  #appliedBytes = 0;
  #encoder: RegistrySnapshotEncoder | null = null;
  #nextSliceAt: MonotonicMillis = Number.POSITIVE_INFINITY;
  #waiting: (() => void)[] = [];

  constructor(parts: SnapshotTakerParts) {
    this.#parts = parts;
    this.#snapshotIndex = parts.snapshotIndex;
    this.#previousBytes = parts.previousBytes;
  }

  /** Begins a snapshot if the registry has changed since the last one; calls `onTaken` once it is taken, or at once if nothing changed. */
  request(now: MonotonicMillis, onTaken: () => void): void {
    if (this.#encoder === null && this.#registry.revision <= this.#snapshotIndex) {
      onTaken();
      return;
    }
    this.#waiting.push(onTaken);
    if (this.#encoder === null) {
      this.#begin(now);
    }
  }

  /** Called after the registry was replaced by the leader's snapshot of this many bytes; ends the snapshot in progress. */
  restored(bytes: number): void {
    this.#snapshotIndex = this.#registry.revision;
    this.#previousBytes = bytes;
    this.#appliedBytes = this.#parts.raft.appliedBytes;
    this.#end();
  }

  /** Begins a snapshot that is due, and encodes a slice that is due. Returns whether a snapshot was passed to Raft. */
  run(now: MonotonicMillis): boolean {
    if (this.#encoder === null && this.#isDue()) {
      this.#begin(now);
    }
    if (this.#encoder === null || now < this.#nextSliceAt) {
      return false;
    }
    const data = this.#encoder.step();
    if (data === null) {
      this.#nextSliceAt = now + SLICE_PAUSE_MILLIS;
      return false;
    }
    this.#previousBytes = data.byteLength;
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
    const entries = Math.max(this.#parts.snapshotEntries, recordCount * ENTRIES_PER_RECORD);
    const bytes = Math.max(this.#parts.snapshotBytes, this.#previousBytes * LOG_BYTES_PER_SNAPSHOT_BYTE);
    return (
      revision - this.#snapshotIndex >= entries || this.#parts.raft.appliedBytes - this.#appliedBytes >= bytes
    );
  }

  #begin(now: MonotonicMillis): void {
    this.#encoder = this.#registry.beginEncode();
    this.#snapshotIndex = this.#encoder.revision;
    this.#appliedBytes = this.#parts.raft.appliedBytes;
    this.#nextSliceAt = now;
  }

  #end(): void {
    this.#encoder = null;
    this.#nextSliceAt = Number.POSITIVE_INFINITY;
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const onTaken of waiting) {
      onTaken();
    }
  }
}
