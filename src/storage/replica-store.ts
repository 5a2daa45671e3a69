/** Makes the changes of a replica durable: its log, and beside it snapshots. */
import type { PersistRequest, Snapshot } from '../consensus/types.js';
import { toError } from '../errors/ternmount-error.js';
import type { FolderLock } from './folder-lock.js';
import type { SnapshotStore } from './snapshot-store.js';
import type { LogChange, WriteAheadLog } from './write-ahead-log.js';

export class ReplicaStore {
  /** Last index of the log on disk. */
  #lastIndex: number;
  /** A snapshot of the replica's own that is being saved beside the log. */
  #saving: Promise<void> | null = null;
  /** Last index of a snapshot that was saved and isn't noted in the log yet; 0: none. */
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
   * Writes the requests in order; those up to a snapshot share one write and one sync. A snapshot of the replica's own
   * state is saved beside, and this doesn't wait for it: until it is there, the log holds all that it stands for.
   */
  async persist(requests: readonly PersistRequest[]): Promise<void> {
    await this.#finishOwnSnapshot();
    let changes: LogChange[] = [];
    for (const { snapshot, ...change } of requests) {
      changes.push(change);
      this.#follow(change);
      if (snapshot !== undefined) {
        await this.log.write(changes);
        changes = [];
        await this.#take(snapshot);
      }
    }
    await this.log.write(changes);
  }

  /** Notes a snapshot in the log unless it stands there, and drops what it makes needless. */
  async finishSnapshot(lastIndex: number, markedIndex: number): Promise<void> {
    if (markedIndex < lastIndex) {
      await this.log.markSnapshot(lastIndex);
    }
    await this.snapshots.dropBefore(lastIndex);
  }

  /** Resolves when no snapshot is being saved and the log knows of the last one. */
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

  #follow({ truncateFrom, entries }: LogChange): void {
    if (truncateFrom !== undefined) {
      this.#lastIndex = Math.min(this.#lastIndex, truncateFrom - 1);
    }
    this.#lastIndex = entries?.at(-1)?.index ?? this.#lastIndex;
  }

  async #take(snapshot: Snapshot): Promise<void> {
    await this.#saving;
    if (snapshot.lastIndex <= this.#lastIndex) {
      this.#saving = this.#saveBeside(snapshot);
      return;
    }
    await this.#finishOwnSnapshot();
    await this.snapshots.save(snapshot);
    this.#lastIndex = snapshot.lastIndex;
    await this.finishSnapshot(snapshot.lastIndex, 0);
  }

  async #saveBeside(snapshot: Snapshot): Promise<void> {
    try {
      await this.snapshots.save(snapshot);
      this.#savedIndex = snapshot.lastIndex;
    } catch (thrown) {
      this.#failure = toError(thrown);
    }
    this.#saving = null;
  }

  /** Throws what a snapshot that was saved beside failed with. */
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
