/** The data folder of a replica: its identity, its lock, its log and its snapshots. */
import { randomUUID } from 'node:crypto';
import { join } from 'node:path';
import type { PersistRequest, RestoredState, Snapshot } from '../consensus/types.js';
import { toError } from '../errors/ternmount-error.js';
import type { Address, ClusterId, ReplicaId } from '../model/identifiers.js';
import { DISK, type FileSystem } from './file-system.js';
import { type FolderLock, lockFolder } from './folder-lock.js';
import type { LogReplay } from './log-replay.js';
import { UNFINISHED_SUFFIX } from './replace-file.js';
import { IDENTITY_FILE, type ReplicaIdentity, readIdentity, writeIdentity } from './replica-identity.js';
import { SnapshotStore } from './snapshot-store.js';
import { FolderUnusableError, StorageDamagedError } from './storage-error.js';
import { DEFAULT_SEGMENT_BYTES, type LogChange, WriteAheadLog } from './write-ahead-log.js';

/** How a folder is opened; tests give their own disk and no lock. */
export interface ReplicaStoreOptions {
  readonly files?: FileSystem;
  readonly lock?: (folder: string) => FolderLock;
  readonly segmentBytes?: number;
}

/** What a new folder is made for. */
export interface NewReplica {
  readonly cluster: ClusterId;
  readonly address: Address;
  /** `first`: the only voter of a new cluster. `joining`: it waits until a cluster takes it in. */
  readonly role: 'first' | 'joining';
}

/** A folder that was opened. */
export interface OpenedStore {
  readonly identity: ReplicaIdentity;
  readonly restored: RestoredState;
  readonly store: ReplicaStore;
}

const REPLICA_PREFIX = 'r-';

/**
 * Makes a data folder with a replica id that was never used before. The folder must be empty or not there; the identity
 * is written last, so that a folder that isn't whole is no replica's.
 */
export async function createReplica(
  folder: string,
  replica: NewReplica,
  { files = DISK }: ReplicaStoreOptions = {},
): Promise<ReplicaIdentity> {
  const names = (await files.list(folder)) ?? [];
  if (names.includes(IDENTITY_FILE)) {
    throw new FolderUnusableError(folder, 'holds a replica already; nothing was changed');
  }
  if (names.length > 0) {
    throw new FolderUnusableError(folder, `isn't empty (${names[0]}); nothing was changed`);
  }
  await files.makeFolder(folder);
  const identity = newIdentity(replica);
  await WriteAheadLog.create({ files, folder, identity, segmentBytes: DEFAULT_SEGMENT_BYTES });
  await writeIdentity(files, folder, identity);
  return identity;
}

function newIdentity({ cluster, address, role }: NewReplica): ReplicaIdentity {
  const replica = REPLICA_PREFIX + randomUUID();
  const alone = {
    voters: [replica],
    outgoingVoters: [],
    learners: [],
    addresses: { [replica]: address },
  };
  return { cluster, replica, address, initialMembership: role === 'first' ? alone : null };
}

/** Opens a data folder and locks it. Throws `FolderUnusableError`, `FolderLockedError` or `StorageDamagedError`. */
export async function openReplica(
  folder: string,
  cluster: ClusterId,
  options: ReplicaStoreOptions = {},
): Promise<OpenedStore> {
  const { files = DISK, lock: takeLock = lockFolder, segmentBytes = DEFAULT_SEGMENT_BYTES } = options;
  const names = await files.list(folder);
  if (names === null || names.length === 0) {
    const advice = 'make one with "control init" (new cluster) or "control join" (one that runs)';
    throw new FolderUnusableError(folder, `holds no replica; ${advice}`);
  }
  if (!names.includes(IDENTITY_FILE)) {
    throw new StorageDamagedError(folder, `there is no ${IDENTITY_FILE}`);
  }
  const lock = takeLock(folder);
  try {
    return await openLocked({ files, folder, cluster, segmentBytes, lock });
  } catch (thrown) {
    lock.release();
    throw thrown;
  }
}

interface LockedFolder {
  readonly files: FileSystem;
  readonly folder: string;
  readonly cluster: ClusterId;
  readonly segmentBytes: number;
  readonly lock: FolderLock;
}

async function openLocked(opening: LockedFolder): Promise<OpenedStore> {
  const { files, folder, cluster, segmentBytes, lock } = opening;
  const identity = await readIdentity(files, folder);
  if (identity.cluster !== cluster) {
    throw new FolderUnusableError(folder, `belongs to cluster ${identity.cluster}, not to ${cluster}`);
  }
  await removeUnfinished(files, folder);
  const names = (await files.list(folder)) ?? [];
  const snapshots = new SnapshotStore(files, folder, identity);
  const snapshot = await snapshots.load(names);
  const { log, replay } = await WriteAheadLog.open({ files, folder, identity, segmentBytes }, names);
  const restored = restore(folder, identity, snapshot, replay);
  const lastIndex = restored.entries.at(-1)?.index ?? snapshot?.lastIndex ?? 0;
  const store = new ReplicaStore(log, snapshots, lock, lastIndex);
  if (snapshot !== null) {
    await store.finishSnapshot(snapshot.lastIndex, replay.snapshotIndex);
  }
  return { identity, restored, store };
}

async function removeUnfinished(files: FileSystem, folder: string): Promise<void> {
  const names = (await files.list(folder)) ?? [];
  for (const name of names.filter((found) => found.endsWith(UNFINISHED_SUFFIX))) {
    await files.remove(join(folder, name));
  }
}

function restore(
  folder: string,
  identity: ReplicaIdentity,
  snapshot: Snapshot | null,
  replay: LogReplay,
): RestoredState {
  const snapshotIndex = snapshot?.lastIndex ?? 0;
  if (snapshotIndex < replay.snapshotIndex) {
    throw new StorageDamagedError(folder, `the snapshot up to ${replay.snapshotIndex} is missing`);
  }
  const entries = replay.entriesAfter(snapshotIndex);
  if (entries === undefined) {
    throw new StorageDamagedError(folder, `entries after ${snapshotIndex} are missing`);
  }
  const { initialMembership } = identity;
  return { hardState: replay.hardState, snapshot, initialMembership, entries };
}

/** Makes the changes of a replica durable. */
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

/** Reads which replica a folder holds, without opening it. */
export async function replicaOf(folder: string, files: FileSystem = DISK): Promise<ReplicaId> {
  return (await readIdentity(files, folder)).replica;
}
