/** Creates and opens the data folder of a replica: identity, lock, log and snapshots. */
import { randomUUID } from 'node:crypto';
import { join } from 'node:path';
import type { RestoredState, Snapshot } from '../consensus/types.js';
import type { Address, ClusterId } from '../model/identifiers.js';
import { DISK, type FileSystem } from './file-system.js';
import { type FolderLock, lockFolder } from './folder-lock.js';
import type { LogReplay } from './log-replay.js';
import { UNFINISHED_SUFFIX } from './replace-file.js';
import { IDENTITY_FILE, type ReplicaIdentity, readIdentity, writeIdentity } from './replica-identity.js';
import { ReplicaStore } from './replica-store.js';
import { SnapshotStore } from './snapshot-store.js';
import { FolderUnusableError, StorageDamagedError } from './storage-error.js';
import { DEFAULT_SEGMENT_BYTES, WriteAheadLog } from './write-ahead-log.js';

/** Options for opening a folder; tests pass an in-memory disk and no lock. */
export interface ReplicaStoreOptions {
  readonly files?: FileSystem;
  readonly lock?: (folder: string) => FolderLock;
  readonly segmentBytes?: number;
}

/** The replica for which a folder is created. */
export interface NewReplica {
  readonly cluster: ClusterId;
  readonly address: Address;
  /** `first`: the only voter of a new cluster. `joining`: waits until a cluster adds it. */
  readonly role: 'first' | 'joining';
}

/** An opened folder. */
export interface OpenedStore {
  readonly identity: ReplicaIdentity;
  readonly restored: RestoredState;
  readonly store: ReplicaStore;
}

const REPLICA_PREFIX = 'r-';

/**
 * Creates a data folder with a new, unique replica id. The folder must be empty or absent. The identity is written last,
 * so that an incomplete folder doesn't count as a replica.
 */
export async function createReplica(
  folder: string,
  replica: NewReplica,
  options: ReplicaStoreOptions = {},
): Promise<ReplicaIdentity> {
  const identity = newIdentity(replica);
  await createReplicaAs(folder, identity, options);
  return identity;
}

/** Like `createReplica`, with a given identity. */
export async function createReplicaAs(
  folder: string,
  identity: ReplicaIdentity,
  { files = DISK }: ReplicaStoreOptions = {},
): Promise<void> {
  const names = (await files.list(folder)) ?? [];
  if (names.includes(IDENTITY_FILE)) {
    throw new FolderUnusableError(folder, 'holds a replica already; nothing was changed');
  }
  if (names.length > 0) {
    throw new FolderUnusableError(folder, `isn't empty (${names[0]}); nothing was changed`);
  }
  await files.makeFolder(folder);
  await WriteAheadLog.create({ files, folder, identity, segmentBytes: DEFAULT_SEGMENT_BYTES });
  await writeIdentity(files, folder, identity);
}

function newIdentity({ cluster, address, role }: NewReplica): ReplicaIdentity {
  const replica = REPLICA_PREFIX + randomUUID();
  const singleVoter = {
    voters: [replica],
    outgoingVoters: [],
    learners: [],
    addresses: { [replica]: address },
  };
  return { cluster, replica, address, initialMembership: role === 'first' ? singleVoter : null };
}

/** Opens a data folder and locks it. Throws `FolderUnusableError`, `FolderLockedError` or `StorageDamagedError`. */
export async function openReplica(
  folder: string,
  cluster: ClusterId,
  options: ReplicaStoreOptions = {},
): Promise<OpenedStore> {
  const { files = DISK, lock: acquireLock = lockFolder, segmentBytes = DEFAULT_SEGMENT_BYTES } = options;
  const names = await files.list(folder);
  if (names === null || names.length === 0) {
    const advice = 'make one with "control init" (new cluster) or "control join" (one that runs)';
    throw new FolderUnusableError(folder, `holds no replica; ${advice}`);
  }
  if (!names.includes(IDENTITY_FILE)) {
    throw new StorageDamagedError(folder, `there is no ${IDENTITY_FILE}`);
  }
  const lock = acquireLock(folder);
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

async function openLocked(locked: LockedFolder): Promise<OpenedStore> {
  const { files, folder, cluster, segmentBytes, lock } = locked;
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
  for (const name of names.filter((candidate) => candidate.endsWith(UNFINISHED_SUFFIX))) {
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
