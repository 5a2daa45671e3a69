/** Errors of the storage layer. */
import VError from 'verror';
import { TernmountError, toError } from '../errors/ternmount-error.js';

/** Operating system error codes for a full disk or an exceeded quota. */
const DISK_FULL_CODES = new Set(['ENOSPC', 'EDQUOT']);

/** Stored data is damaged, so that this replica is lost and must be replaced by a new one. */
export class StorageDamagedError extends TernmountError {
  constructor(path: string, problem: string, cause?: Error) {
    const advice = 'this replica is lost; make a new one with "control join" in an empty folder';
    super(
      { code: 'TERNMOUNT_STORAGE_DAMAGED', retriable: false, cause, info: { path, problem } },
      `${path}: ${problem}; ${advice}`,
    );
  }
}

/** The folder isn't usable for the operation: it holds no replica, already holds one, or belongs to another cluster. */
export class FolderUnusableError extends TernmountError {
  constructor(folder: string, problem: string, cause?: Error) {
    super(
      { code: 'TERNMOUNT_FOLDER_UNUSABLE', retriable: false, cause, info: { folder } },
      `${folder}: ${problem}`,
    );
  }
}

/**
 * Reads the content of records whose checksums hold. What can't be read then was written as it is, by another release: the folder is unusable
 * for this one, and not damaged, so nothing may replace it.
 */
export function readContent<Content>(path: string, read: () => Content): Content {
  try {
    return read();
  } catch (thrown) {
    if (thrown instanceof TernmountError) {
      throw thrown;
    }
    throw new FolderUnusableError(path, "holds a record that this release can't read", toError(thrown));
  }
}

/** A running process holds the lock of the folder. */
export class FolderLockedError extends TernmountError {
  constructor(folder: string, holder: number) {
    super(
      { code: 'TERNMOUNT_FOLDER_LOCKED', retriable: false, info: { folder, holder } },
      `${folder}: locked by process ${holder}, which is running`,
    );
  }
}

/** A file operation failed in the operating system. */
export class StorageFailedError extends TernmountError {
  constructor(path: string, action: string, cause: Error) {
    super(
      { code: 'TERNMOUNT_STORAGE_FAILED', retriable: false, cause, info: { path } },
      `${path}: can't ${action}`,
    );
  }
}

/** Whether a write failed because the disk is full, so that it may be retried later. */
export function isDiskFull(thrown: unknown): boolean {
  const cause = thrown instanceof StorageFailedError ? VError.cause(thrown) : null;
  const code = (cause as NodeJS.ErrnoException | null)?.code ?? '';
  return DISK_FULL_CODES.has(code);
}
