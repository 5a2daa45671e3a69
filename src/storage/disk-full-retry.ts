/**
 * Retries writes while the disk is full, so that a full disk looks like a stalled one to the layers above. These need no
 * separate error path: nothing is acknowledged meanwhile, and the process keeps running.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { toError } from '../errors/ternmount-error.js';
import type { FileSystem, WritableFile } from './file-system.js';
import { isDiskFull } from './storage-error.js';

const DEFAULT_RETRY_MILLIS = 200;

export interface DiskFullRetryOptions {
  readonly retryMillis?: number;
  /** Called when a write starts waiting because the disk is full. */
  readonly onDiskFull?: (error: Error) => void;
  /** Called when the write succeeds, with the time that it waited. */
  readonly onSpaceAvailable?: (waitedMillis: number) => void;
}

export class DiskFullRetry {
  readonly #options: DiskFullRetryOptions;
  #isStopped = false;

  constructor(options: DiskFullRetryOptions = {}) {
    this.#options = options;
  }

  /** Ends all waiting for the shutdown: writes that wait for disk space fail. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Wraps a file system so that its writes wait for disk space. */
  wrap(files: FileSystem): FileSystem {
    return {
      list: (folder) => files.list(folder),
      read: (path) => files.read(path),
      remove: (path) => files.remove(path),
      makeFolder: (folder) => this.#retryWhileFull(() => files.makeFolder(folder)),
      rename: (from, to) => this.#retryWhileFull(() => files.rename(from, to)),
      syncFolder: (folder) => this.#retryWhileFull(() => files.syncFolder(folder)),
      create: async (path) =>
        this.#wrapFile(await this.#retryWhileFull(() => files.create(path)), async () => 0),
      openToAppend: async (path) => {
        const sizeOf = async (): Promise<number> => (await files.read(path)).length;
        return this.#wrapFile(await files.openToAppend(path), sizeOf);
      },
    };
  }

  /**
   * A write that fails on a full disk may leave a partial write, which is truncated with the retry; the disk may refuse that too. `sizeOf` returns the
   * size of the file; it is called only if the file wasn't truncated to a given size first.
   */
  #wrapFile(file: WritableFile, sizeOf: () => Promise<number>): WritableFile {
    let size: number | null = null;
    return {
      append: async (bytes) => {
        const completeBytes = size ?? (await sizeOf());
        let isPartial = false;
        await this.#retryWhileFull(async () => {
          if (isPartial) {
            await file.truncate(completeBytes);
          }
          isPartial = true;
          await file.append(bytes);
        });
        size = completeBytes + bytes.length;
      },
      truncate: async (bytes) => {
        await this.#retryWhileFull(() => file.truncate(bytes));
        size = bytes;
      },
      sync: () => file.sync(),
      close: () => file.close(),
    };
  }

  async #retryWhileFull<Result>(run: () => Promise<Result>): Promise<Result> {
    const { retryMillis = DEFAULT_RETRY_MILLIS, onDiskFull, onSpaceAvailable } = this.#options;
    let fullSince: number | null = null;
    for (;;) {
      try {
        const result = await run();
        if (fullSince !== null) {
          onSpaceAvailable?.(Math.round(performance.now() - fullSince));
        }
        return result;
      } catch (thrown) {
        if (!isDiskFull(thrown) || this.#isStopped) {
          throw thrown;
        }
        if (fullSince === null) {
          fullSince = performance.now();
          onDiskFull?.(toError(thrown));
        }
        await sleep(retryMillis);
      }
    }
  }
}
