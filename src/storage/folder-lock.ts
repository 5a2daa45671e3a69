/**
 * Lock of a data folder by a living process: a file with its process id and start time. The lock of a process that is
 * gone, or whose id belongs to another one by now, is taken over.
 */
import { linkSync, readFileSync, renameSync, unlinkSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { FolderLockedError } from './storage-error.js';

export const LOCK_FILE = 'lock';
const FILE_MODE = 0o600;
const TRIES = 5;
/** What a file system without links answers. */
const NO_LINKS: ReadonlySet<string> = new Set(['ENOSYS', 'ENOTSUP', 'EOPNOTSUPP', 'EPERM']);
/** Place of the start time among the fields of `/proc/PID/stat` that follow the command's name. */
const START_TIME_FIELD = 19;

/** Who holds a lock. */
interface LockHolder {
  readonly pid: number;
  /** Start time as the kernel counts it; `null` where it can't be read. */
  readonly startTime: string | null;
}

/** Holds a folder until it is released. */
export interface FolderLock {
  release(): void;
}

/** Takes the lock. Throws `FolderLockedError` if a living process has it. */
export function lockFolder(folder: string): FolderLock {
  const path = join(folder, LOCK_FILE);
  const own: LockHolder = { pid: process.pid, startTime: startTimeOf(process.pid) };
  const candidate = `${path}.${process.pid}`;
  writeFileSync(candidate, JSON.stringify(own), { mode: FILE_MODE });
  try {
    for (let turn = 0; turn < TRIES; turn += 1) {
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
    if (NO_LINKS.has(code)) {
      return tryCopy(from, to);
    }
    throw thrown;
  }
}

/** For file systems without links: the file is made only if there is none, and counts once it is whole. */
function tryCopy(from: string, to: string): boolean {
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
    // Another process took the stale lock over between the look and the rename: give it back.
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
