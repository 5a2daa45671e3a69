/**
 * Group commit: changes made while a persist is outstanding are batched into the next request, so that they share one
 * sync. Actions that depend on a change run once its request is reported as persisted.
 */
import type { HardState, LogEntry, PersistRequest, Snapshot } from './types.js';

/** Callback for when all changes made so far are on disk. */
export type AfterPersist = () => void;

interface Batch {
  hardState?: HardState;
  truncateFrom?: number;
  entries: LogEntry[];
  snapshot?: Snapshot;
  /** Last index of the log after this batch; `undefined` if the batch doesn't change the log. */
  lastIndex?: number;
  /** A sealed batch accepts no more changes. */
  sealed: boolean;
  readonly actions: AfterPersist[];
}

interface OutstandingBatch {
  readonly persistId: number;
  readonly batch: Batch;
  readonly since: number;
}

/** Result of a completed persist request. */
export interface PersistedBatch {
  /** Last durable index of the current log, if the batch changed the log. */
  readonly stableIndex: number | undefined;
  readonly snapshot: Snapshot | undefined;
  readonly actions: readonly AfterPersist[];
}

export class PersistQueue {
  #pending: Batch[] = [];
  #outstanding: OutstandingBatch | undefined;
  #nextPersistId = 1;

  /** Whether a changed term or vote isn't on disk yet. */
  get isHardStatePending(): boolean {
    const batches = [...this.#pending, ...(this.#outstanding ? [this.#outstanding.batch] : [])];
    return batches.some((batch) => batch.hardState !== undefined);
  }

  /** When the outstanding request was returned by `flush`; `null`: none is outstanding. */
  get outstandingSince(): number | null {
    return this.#outstanding?.since ?? null;
  }

  setHardState(hardState: HardState): void {
    this.#openBatch().hardState = hardState;
  }

  appendEntries(entries: readonly LogEntry[]): void {
    const batch = this.#openBatch();
    for (const entry of entries) {
      batch.entries.push(entry);
    }
    batch.lastIndex = entries.at(-1)?.index ?? batch.lastIndex;
  }

  truncateFrom(index: number): void {
    const batch = this.#openBatch();
    const firstPending = batch.entries[0]?.index;
    batch.entries = batch.entries.filter((entry) => entry.index < index);
    if (firstPending === undefined || index < firstPending) {
      batch.truncateFrom = Math.min(batch.truncateFrom ?? index, index);
    }
    batch.lastIndex = index - 1;
  }

  /** Saves a snapshot of this replica's own state; entries after it are kept. */
  saveSnapshot(snapshot: Snapshot): void {
    this.#openBatch().snapshot = snapshot;
  }

  /**
   * Replaces the whole log by a snapshot from the leader. Entries after it are truncated first, since they conflict with
   * committed ones. Entries before it stay on disk until the snapshot is written.
   */
  installSnapshot(snapshot: Snapshot, previousLastIndex: number): void {
    const batch = this.#openBatch();
    if (previousLastIndex > snapshot.lastIndex) {
      this.truncateFrom(snapshot.lastIndex + 1);
    }
    batch.snapshot = snapshot;
    batch.lastIndex = snapshot.lastIndex;
    batch.sealed = true;
  }

  /** Runs `action` once all changes made so far are on disk, which may be immediately. */
  afterPersist(action: AfterPersist): void {
    const batch = this.#pending.at(-1) ?? this.#outstanding?.batch;
    if (batch === undefined) {
      action();
      return;
    }
    batch.actions.push(action);
  }

  /** Returns the next request to write, if there is one and no other is outstanding. */
  flush(now: number): PersistRequest | undefined {
    if (this.#outstanding !== undefined) {
      return undefined;
    }
    const batch = this.#pending.shift();
    if (batch === undefined) {
      return undefined;
    }
    const persistId = this.#nextPersistId;
    this.#nextPersistId += 1;
    this.#outstanding = { persistId, batch, since: now };
    return toRequest(persistId, batch);
  }

  /** Completes a request that was reported as persisted; `undefined` if it isn't outstanding. */
  completePersist(persistId: number): PersistedBatch | undefined {
    const outstanding = this.#outstanding;
    if (outstanding === undefined || persistId < outstanding.persistId) {
      return undefined;
    }
    this.#outstanding = undefined;
    const { batch } = outstanding;
    return {
      stableIndex: this.#stableIndexAfter(batch),
      snapshot: batch.snapshot,
      actions: batch.actions,
    };
  }

  /** Entries that pending requests will truncate, or replace by an installed snapshot, don't count as durable. */
  #stableIndexAfter(batch: Batch): number | undefined {
    const willBeReplaced = this.#pending.some((pending) => pending.sealed);
    if (batch.lastIndex === undefined || willBeReplaced) {
      return undefined;
    }
    const truncations = this.#pending.map((pending) => (pending.truncateFrom ?? Infinity) - 1);
    return Math.min(batch.lastIndex, ...truncations);
  }

  #openBatch(): Batch {
    const last = this.#pending.at(-1);
    if (last !== undefined && !last.sealed) {
      return last;
    }
    const batch: Batch = { entries: [], sealed: false, actions: [] };
    this.#pending.push(batch);
    return batch;
  }
}

function toRequest(persistId: number, batch: Batch): PersistRequest {
  return {
    persistId,
    ...(batch.hardState !== undefined && { hardState: batch.hardState }),
    ...(batch.truncateFrom !== undefined && { truncateFrom: batch.truncateFrom }),
    ...(batch.entries.length > 0 && { entries: batch.entries }),
    ...(batch.snapshot !== undefined && { snapshot: batch.snapshot }),
  };
}
