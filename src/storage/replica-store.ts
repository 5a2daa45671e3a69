/** Persists the changes of a replica in its log and its snapshots. */
import type { PersistRequest, Snapshot } from '../consensus/types.js';
import { toError } from '../errors/ternmount-error.js';
import type { FolderLock } from './folder-lock.js';
import type { SnapshotStore } from './snapshot-store.js';
import type { LogChange, WriteAheadLog } from './write-ahead-log.js';

export class ReplicaStore {
  /** Last index of the log on disk. */
  #lastIndex: number;
  /** Pending save of a snapshot of the replica's own state, concurrent with log writes. */
  #saving: Promise<void> | null = null;
  /** Last index of a saved snapshot that isn't recorded in the log yet; 0: none. */
  #savedIndex = 0;
  #failure: Error | null = null;

  constructor(
    private readonly log: WriteAheadLog,
    private readonly snapshots: SnapshotStore,
    private readonly lock: FolderLock,
    lastIndex: number,
  ) {
    this.#lastIndex = lastIndex;
  }

  /**
   * Writes the requests in order; the requests up to a snapshot share one write and one sync. A snapshot of the replica's
   * own state is saved in the background without being awaited: until it is saved, the log still holds all it covers.
   */
  async persist(requests: readonly PersistRequest[]): Promise<void> {
    await this.#finishOwnSnapshot();
    let changes: LogChange[] = [];
    for (const { snapshot, ...change } of requests) {
      changes.push(change);
      this.#trackLastIndex(change);
      if (snapshot !== undefined) {
        await this.log.write(changes);
        changes = [];
        await this.#persistSnapshot(snapshot);
      }
    }
    await this.log.write(changes);
  }

  /** Records a snapshot in the log unless it is recorded already, and removes the files that it replaces. */
  async finishSnapshot(lastIndex: number, markedIndex: number): Promise<void> {
    if (markedIndex < lastIndex) {
      await this.log.markSnapshot(lastIndex);
    }
    await this.snapshots.dropBefore(lastIndex);
  }

  /** Resolves when no snapshot is being saved and the last one is recorded in the log. */
  async settle(): Promise<void> {
    await this.#saving;
    await this.#finishOwnSnapshot();
  }

  async close(): Promise<void> {
    try {
      await this.settle();
      await this.log.close();
    } finally {
      this.lock.release();
    }
  }

  #trackLastIndex({ truncateFrom, entries }: LogChange): void {
    if (truncateFrom !== undefined) {
      this.#lastIndex = Math.min(this.#lastIndex, truncateFrom - 1);
    }
    this.#lastIndex = entries?.at(-1)?.index ?? this.#lastIndex;
  }

  async #persistSnapshot(snapshot: Snapshot): Promise<void> {
    await this.#saving;
    if (snapshot.lastIndex <= this.#lastIndex) {
      this.#saving = this.#saveInBackground(snapshot);
      return;
    }
    await this.#finishOwnSnapshot();
    await this.snapshots.save(snapshot);
    this.#lastIndex = snapshot.lastIndex;
    await this.finishSnapshot(snapshot.lastIndex, 0);
  }

  async #saveInBackground(snapshot: Snapshot): Promise<void> {
    try {
      await this.snapshots.save(snapshot);
      this.#savedIndex = snapshot.lastIndex;
    } catch (thrown) {
      this.#failure = toError(thrown);
    }
    this.#saving = null;
  }

  /** Records a snapshot that was saved in the background. Throws the error if saving failed. */
  async #finishOwnSnapshot(): Promise<void> {
    if (this.#failure !== null) {
      throw this.#failure;
    }
    if (this.#savedIndex > 0) {
      const lastIndex = this.#savedIndex;
      this.#savedIndex = 0;
      await this.finishSnapshot(lastIndex, 0);
    }
  }
}
