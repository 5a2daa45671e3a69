/** Errors of the storage layer. */
import VError from 'verror';
import { TernmountError } from '../errors/ternmount-error.js';

/** What operating systems say of a disk, or of a share of it, that has no room left. */
const FULL_CODES = new Set(['ENOSPC', 'EDQUOT']);

/** Something on the disk can't be trusted, so that this replica is lost: a new one must take its place. */
export class StorageDamagedError extends TernmountError {
  constructor(path: string, problem: string, cause?: Error) {
    const advice = 'this replica is lost; make a new one with "control join" in an empty folder';
    super(
      { code: 'TERNMOUNT_STORAGE_DAMAGED', retriable: false, cause, info: { path, problem } },
      `${path}: ${problem}; ${advice}`,
    );
  }
}

/** The folder isn't one that can be used as asked: it holds no replica, or one already, or another cluster's. */
export class FolderUnusableError extends TernmountError {
  constructor(folder: string, problem: string) {
    super({ code: 'TERNMOUNT_FOLDER_UNUSABLE', retriable: false, info: { folder } }, `${folder}: ${problem}`);
  }
}

/** A living process holds the folder. */
export class FolderLockedError extends TernmountError {
  constructor(folder: string, holder: number) {
    super(
      { code: 'TERNMOUNT_FOLDER_LOCKED', retriable: false, info: { folder, holder } },
      `${folder}: locked by process ${holder}, which is running`,
    );
  }
}

/** The operating system refused to read or write. */
export class StorageFailedError extends TernmountError {
  constructor(path: string, action: string, cause: Error) {
    super(
      { code: 'TERNMOUNT_STORAGE_FAILED', retriable: false, cause, info: { path } },
      `${path}: can't ${action}`,
    );
  }
}

/** Whether a write failed for want of room, so that it may be tried again later. */
export function isDiskFull(thrown: unknown): boolean {
  const cause = thrown instanceof StorageFailedError ? VError.cause(thrown) : null;
  const code = (cause as NodeJS.ErrnoException | null)?.code ?? '';
  return FULL_CODES.has(code);
}
