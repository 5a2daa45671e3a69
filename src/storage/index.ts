/** The data folder of a replica: write-ahead log, snapshots, identity and lock. */

export { DiskFullRetry, type DiskFullRetryOptions } from './disk-full-retry.js';
export { DISK, type FileSystem, type WritableFile } from './file-system.js';
export { type FolderLock, lockFolder } from './folder-lock.js';
export {
  createReplica,
  type NewReplica,
  type OpenedStore,
  openReplica,
  type ReplicaStoreOptions,
} from './replica-folder.js';
export type { ReplicaIdentity } from './replica-identity.js';
export { openOrCreateReplica, type SelfStart } from './replica-opening.js';
export { ReplicaStore } from './replica-store.js';
export {
  FolderLockedError,
  FolderUnusableError,
  StorageDamagedError,
  StorageFailedError,
} from './storage-error.js';
