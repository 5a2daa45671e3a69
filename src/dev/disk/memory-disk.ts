/**
 * A disk in memory that simulates power loss: unsynced data, including directory entries, is then lost or torn. For tests
 * of storage and simulated processes.
 */
import { dirname } from 'node:path';
import type { FileSystem, WritableFile } from '../../storage/index.js';
import { StorageFailedError } from '../../storage/index.js';

/** Returns the share of unsynced data that survives, from 0 (nothing) to 1 (everything). */
export type SurvivingShare = () => number;

/** Contents of a file, independent of its name. */
interface FileBody {
  synced: Buffer;
  written: Buffer;
}

/** Thrown by every operation while the power is off. */
class PowerLostError extends Error {
  constructor() {
    super('the power is off');
  }
}

export class MemoryDisk implements FileSystem {
  /** Names as seen by processes. */
  #names = new Map<string, FileBody>();
  /** Names that are certain to survive a power loss. */
  #syncedNames = new Map<string, FileBody>();
  #folders = new Set<string>();
  #operationsLeft = Number.POSITIVE_INFINITY;
  #generation = 0;
  /** Whether the disk is full: half of each append is written, and the write fails. */
  isFull = false;
  /** Number of modifying operations so far. */
  operations = 0;

  /** Cuts the power once `operations` more modifying operations have been performed; later ones fail. */
  losePowerAfter(operations: number): void {
    this.#operationsLeft = operations;
  }

  /** Restores the power; part of the unsynced data survives. Files that were open become unusable. */
  restart(share: SurvivingShare): void {
    this.#operationsLeft = Number.POSITIVE_INFINITY;
    this.#generation += 1;
    const survived = new Map(this.#syncedNames);
    for (const path of new Set([...this.#names.keys(), ...this.#syncedNames.keys()])) {
      const body = this.#names.get(path);
      if (body !== this.#syncedNames.get(path) && share() >= 0.5) {
        setOrDelete(survived, path, body);
      }
    }
    for (const body of new Set(survived.values())) {
      body.written = tear(body, share());
      body.synced = body.written;
    }
    this.#names = survived;
    this.#syncedNames = new Map(survived);
  }

  /** Changes a file without going through the storage. */
  edit(path: string, change: (bytes: Buffer) => Buffer): void {
    const body = this.#require(path);
    body.written = change(Buffer.from(body.written));
    body.synced = body.written;
  }

  /** Removes a file permanently, without going through the storage. */
  lose(path: string): void {
    this.#names.delete(path);
    this.#syncedNames.delete(path);
  }

  async list(folder: string): Promise<readonly string[] | null> {
    this.#checkPower();
    const paths = [...this.#names.keys()].filter((path) => dirname(path) === folder);
    return this.#folders.has(folder) ? paths.map((path) => path.slice(folder.length + 1)).sort() : null;
  }

  async makeFolder(folder: string): Promise<void> {
    this.#change(() => this.#folders.add(folder));
  }

  async read(path: string): Promise<Uint8Array> {
    this.#checkPower();
    return Buffer.from(this.#require(path).written);
  }

  async create(path: string): Promise<WritableFile> {
    this.#change(() => this.#names.set(path, { synced: Buffer.alloc(0), written: Buffer.alloc(0) }));
    return this.#open(path);
  }

  async openToAppend(path: string): Promise<WritableFile> {
    this.#checkPower();
    return this.#open(path);
  }

  async rename(from: string, to: string): Promise<void> {
    this.#change(() => {
      this.#names.set(to, this.#require(from));
      this.#names.delete(from);
    });
  }

  async remove(path: string): Promise<void> {
    this.#change(() => this.#names.delete(path));
  }

  async syncFolder(folder: string): Promise<void> {
    this.#change(() => {
      for (const path of new Set([...this.#names.keys(), ...this.#syncedNames.keys()])) {
        if (dirname(path) === folder) {
          setOrDelete(this.#syncedNames, path, this.#names.get(path));
        }
      }
    });
  }

  #open(path: string): WritableFile {
    const body = this.#require(path);
    const generation = this.#generation;
    const change = async (run: () => void): Promise<void> => {
      if (generation !== this.#generation) {
        throw new PowerLostError();
      }
      this.#change(run);
    };
    return {
      append: (bytes) =>
        change(() => {
          const writable = this.isFull ? bytes.subarray(0, bytes.length >> 1) : bytes;
          body.written = Buffer.concat([body.written, writable]);
          if (this.isFull) {
            const cause = Object.assign(new Error('no space left on device'), { code: 'ENOSPC' });
            throw new StorageFailedError(path, 'write', cause);
          }
        }),
      truncate: (size) =>
        change(() => {
          body.written = Buffer.from(body.written.subarray(0, size));
        }),
      sync: () =>
        change(() => {
          body.synced = body.written;
        }),
      close: async () => {},
    };
  }

  #require(path: string): FileBody {
    const body = this.#names.get(path);
    if (body === undefined) {
      throw new StorageFailedError(path, 'find', new Error('no such file'));
    }
    return body;
  }

  #change(run: () => void): void {
    this.#checkPower();
    this.operations += 1;
    this.#operationsLeft -= 1;
    run();
  }

  #checkPower(): void {
    if (this.#operationsLeft <= 0) {
      throw new PowerLostError();
    }
  }
}

function setOrDelete(names: Map<string, FileBody>, path: string, body: FileBody | undefined): void {
  if (body === undefined) {
    names.delete(path);
  } else {
    names.set(path, body);
  }
}

/** Keeps the synced bytes and a share of the bytes written after; an unsynced truncation survives entirely or not at all. */
function tear({ synced, written }: FileBody, share: number): Buffer {
  if (written.length < synced.length) {
    return share >= 0.5 ? written : synced;
  }
  const kept = synced.length + Math.floor((written.length - synced.length) * share);
  return written.subarray(0, kept);
}
