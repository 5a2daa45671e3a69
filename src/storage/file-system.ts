/** The file operations that storage needs: on the disk by default, in memory for tests that lose unsynced writes. */
import {
  mkdir,
  type FileHandle as NodeFileHandle,
  open,
  readdir,
  readFile,
  rename,
  unlink,
} from 'node:fs/promises';
import { toError } from '../errors/ternmount-error.js';
import { StorageFailedError } from './storage-error.js';

/** An open file that is written at its end. */
export interface WritableFile {
  append(bytes: Uint8Array): Promise<void>;
  /** What was appended survives a loss of power once this resolves. */
  sync(): Promise<void>;
  /** Cuts the file; later appends go on from there. */
  truncate(size: number): Promise<void>;
  close(): Promise<void>;
}

/** Operations on files; each fails with `StorageFailedError`. */
export interface FileSystem {
  /** Names in a folder; `null`: there is no such folder. */
  list(folder: string): Promise<readonly string[] | null>;
  /** Makes a folder with those above it. */
  makeFolder(folder: string): Promise<void>;
  read(path: string): Promise<Uint8Array>;
  /** Makes a file, or empties the one that is there. */
  create(path: string): Promise<WritableFile>;
  openToAppend(path: string): Promise<WritableFile>;
  rename(from: string, to: string): Promise<void>;
  remove(path: string): Promise<void>;
  /** Names made, changed and removed in a folder survive a loss of power once this resolves. */
  syncFolder(folder: string): Promise<void>;
}

const FILE_MODE = 0o600;
const FOLDER_MODE = 0o700;

async function attempt<Result>(path: string, action: string, run: () => Promise<Result>): Promise<Result> {
  try {
    return await run();
  } catch (thrown) {
    throw new StorageFailedError(path, action, toError(thrown));
  }
}

class DiskFile implements WritableFile {
  constructor(
    private readonly path: string,
    private readonly handle: NodeFileHandle,
  ) {}

  append(bytes: Uint8Array): Promise<void> {
    return attempt(this.path, 'write', () => this.handle.appendFile(bytes));
  }

  sync(): Promise<void> {
    return attempt(this.path, 'sync', () => this.handle.datasync());
  }

  truncate(size: number): Promise<void> {
    return attempt(this.path, 'cut', () => this.handle.truncate(size));
  }

  close(): Promise<void> {
    return attempt(this.path, 'close', () => this.handle.close());
  }
}

async function listFolder(folder: string): Promise<readonly string[] | null> {
  try {
    return await readdir(folder);
  } catch (thrown) {
    if ((thrown as NodeJS.ErrnoException).code === 'ENOENT') {
      return null;
    }
    throw thrown;
  }
}

async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** The machine's own disk. */
export const DISK: FileSystem = {
  list: (folder) => attempt(folder, 'list', () => listFolder(folder)),
  makeFolder: (folder) =>
    attempt(folder, 'make the folder', async () => {
      await mkdir(folder, { recursive: true, mode: FOLDER_MODE });
    }),
  read: (path) => attempt(path, 'read', () => readFile(path)),
  create: (path) =>
    attempt(path, 'make the file', async () => new DiskFile(path, await open(path, 'w', FILE_MODE))),
  openToAppend: (path) =>
    attempt(path, 'open', async () => new DiskFile(path, await open(path, 'a', FILE_MODE))),
  rename: (from, to) => attempt(from, 'rename', () => rename(from, to)),
  remove: (path) => attempt(path, 'remove', () => unlink(path)),
  syncFolder: (folder) => attempt(folder, 'sync the folder', () => syncFolder(folder)),
};
