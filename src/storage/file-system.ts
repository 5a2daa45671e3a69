/** File operations of the storage layer: on disk by default; tests use an in-memory disk that drops unsynced writes. */
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

/** A file that is open for appending. */
export interface WritableFile {
  append(bytes: Uint8Array): Promise<void>;
  /** Once this resolves, appended bytes survive a power loss. */
  sync(): Promise<void>;
  /** Truncates the file; later appends start at its new end. */
  truncate(size: number): Promise<void>;
  close(): Promise<void>;
}

/** File operations; each rejects with `StorageFailedError`. */
export interface FileSystem {
  /** Returns the names in a folder, or `null` if the folder doesn't exist. */
  list(folder: string): Promise<readonly string[] | null>;
  /** Creates a folder and its missing parents. */
  makeFolder(folder: string): Promise<void>;
  read(path: string): Promise<Uint8Array>;
  /** Creates a file, or truncates an existing one. */
  create(path: string): Promise<WritableFile>;
  openToAppend(path: string): Promise<WritableFile>;
  rename(from: string, to: string): Promise<void>;
  remove(path: string): Promise<void>;
  /** Once this resolves, names created, renamed and removed in a folder survive a power loss. */
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

/** The local disk. */
export const DISK: FileSystem = {
  list: (folder) => attempt(folder, 'list', () => listFolder(folder)),
  makeFolder: (folder) =>
    attempt(folder, 'create the folder', async () => {
      await mkdir(folder, { recursive: true, mode: FOLDER_MODE });
    }),
  read: (path) => attempt(path, 'read', () => readFile(path)),
  create: (path) =>
    attempt(path, 'create the file', async () => new DiskFile(path, await open(path, 'w', FILE_MODE))),
  openToAppend: (path) =>
    attempt(path, 'open', async () => new DiskFile(path, await open(path, 'a', FILE_MODE))),
  rename: (from, to) => attempt(from, 'rename', () => rename(from, to)),
  remove: (path) => attempt(path, 'remove', () => unlink(path)),
  syncFolder: (folder) => attempt(folder, 'sync the folder', () => syncFolder(folder)),
};
