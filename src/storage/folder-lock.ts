/**
 * Locks a data folder with a file that holds the process id and start time. A lock is stale, and taken over, when its
 * process has ended or its id has been reused by another process.
 */
import { linkSync, readFileSync, renameSync, unlinkSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { FolderLockedError } from './storage-error.js';

export const LOCK_FILE = 'lock';
const FILE_MODE = 0o600;
const MAX_ATTEMPTS = 5;
/** Error codes of file systems without hard links. */
const LINK_UNSUPPORTED_CODES: ReadonlySet<string> = new Set(['ENOSYS', 'ENOTSUP', 'EOPNOTSUPP', 'EPERM']);
/** Index of the start time among the fields of `/proc/PID/stat` after the command name. */
const START_TIME_FIELD = 19;

/** The process that holds a lock. */
interface LockHolder {
  readonly pid: number;
  /** Start time in the kernel's units; `null` where it can't be read. */
  readonly startTime: string | null;
}

/** A lock on a folder, held until `release` is called. */
export interface FolderLock {
  release(): void;
}

/** Acquires the lock. Throws `FolderLockedError` if a running process holds it. */
export function lockFolder(folder: string): FolderLock {
  const path = join(folder, LOCK_FILE);
  const own: LockHolder = { pid: process.pid, startTime: startTimeOf(process.pid) };
  const candidate = `${path}.${process.pid}`;
  writeFileSync(candidate, JSON.stringify(own), { mode: FILE_MODE });
  try {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (tryLink(candidate, path)) {
        return { release: () => release(path, own) };
      }
      clearStaleLock(folder, path);
    }
    throw new FolderLockedError(folder, readHolder(path)?.pid ?? 0);
  } finally {
    unlinkSync(candidate);
  }
}

function tryLink(from: string, to: string): boolean {
  try {
    linkSync(from, to);
    return true;
  } catch (thrown) {
    const code = (thrown as NodeJS.ErrnoException).code ?? '';
    if (code === 'EEXIST') {
      return false;
    }
    if (LINK_UNSUPPORTED_CODES.has(code)) {
      return tryExclusiveCopy(from, to);
    }
    throw thrown;
  }
}

/** For file systems without hard links: creates the file only if it doesn't exist. A partly written lock isn't valid. */
function tryExclusiveCopy(from: string, to: string): boolean {
  try {
    writeFileSync(to, readFileSync(from), { mode: FILE_MODE, flag: 'wx' });
    return true;
  } catch (thrown) {
    if ((thrown as NodeJS.ErrnoException).code === 'EEXIST') {
      return false;
    }
    throw thrown;
  }
}

function clearStaleLock(folder: string, path: string): void {
  const holder = readHolder(path);
  if (holder !== undefined && isAlive(holder)) {
    throw new FolderLockedError(folder, holder.pid);
  }
  const aside = `${path}.stale.${process.pid}`;
  try {
    renameSync(path, aside);
  } catch {
    return;
  }
  const moved = readHolder(aside);
  if (moved !== undefined && isAlive(moved)) {
    // Another process took over the stale lock between the check and the rename: restore its lock.
    tryLink(aside, path);
    unlinkSync(aside);
    throw new FolderLockedError(folder, moved.pid);
  }
  unlinkSync(aside);
}

function readHolder(path: string): LockHolder | undefined {
  try {
    const { pid, startTime } = JSON.parse(readFileSync(path, 'utf8')) as LockHolder;
    return Number.isInteger(pid) && pid > 0 ? { pid, startTime } : undefined;
  } catch {
    return undefined;
  }
}

function isAlive({ pid, startTime }: LockHolder): boolean {
  try {
    process.kill(pid, 0);
  } catch (thrown) {
    if ((thrown as NodeJS.ErrnoException).code !== 'EPERM') {
      return false;
    }
  }
  const now = startTimeOf(pid);
  return now === null || startTime === null || now === startTime;
}

function startTimeOf(pid: number): string | null {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return fields[START_TIME_FIELD] ?? null;
  } catch {
    return null;
  }
}

function release(path: string, own: LockHolder): void {
  const holder = readHolder(path);
  if (holder?.pid === own.pid && holder.startTime === own.startTime) {
    unlinkSync(path);
  }
}
