/**
 * Files on a disk that may have no room for a while: what can't be written waits until it can, as on a disk that stalls. What
 * stands above needs no other path for it: nothing is acknowledged meanwhile, and the process stays up.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { toError } from '../errors/ternmount-error.js';
import type { FileSystem, WritableFile } from './file-system.js';
import { isDiskFull } from './storage-error.js';

/** Time between two tries. */
const DEFAULT_RETRY_MILLIS = 200;

export interface RoomWaitsOptions {
  readonly retryMillis?: number;
  /** A write begins to wait for room. */
  readonly full?: (error: Error) => void;
  /** There is room again, after this long. */
  readonly hasRoom?: (waitedMillis: number) => void;
}

export class RoomWaits {
  readonly #options: RoomWaitsOptions;
  #isOver = false;

  constructor(options: RoomWaitsOptions = {}) {
    this.#options = options;
  }

  /** The process stops: writes that wait for room fail now. */
  stop(): void {
    this.#isOver = true;
  }

  /** The same files, whose writes wait for room. */
  around(files: FileSystem): FileSystem {
    return {
      list: (folder) => files.list(folder),
      read: (path) => files.read(path),
      remove: (path) => files.remove(path),
      makeFolder: (folder) => this.#retried(() => files.makeFolder(folder)),
      rename: (from, to) => this.#retried(() => files.rename(from, to)),
      syncFolder: (folder) => this.#retried(() => files.syncFolder(folder)),
      create: async (path) => this.#file(await this.#retried(() => files.create(path)), async () => 0),
      openToAppend: async (path) => {
        const sizeOf = async (): Promise<number> => (await files.read(path)).length;
        return this.#file(await files.openToAppend(path), sizeOf);
      },
    };
  }

  /**
   * A write without room may leave a part, which is cut off before the next try. `sizeOf`: bytes that stand in the file, asked
   * for only if nobody says so by cutting it first.
   */
  #file(file: WritableFile, sizeOf: () => Promise<number>): WritableFile {
    let size: number | null = null;
    return {
      append: async (bytes) => {
        const wholeBytes = size ?? (await sizeOf());
        await this.#retried(
          () => file.append(bytes),
          () => file.truncate(wholeBytes),
        );
        size = wholeBytes + bytes.length;
      },
      truncate: async (bytes) => {
        await file.truncate(bytes);
        size = bytes;
      },
      sync: () => file.sync(),
      close: () => file.close(),
    };
  }

  async #retried<Result>(run: () => Promise<Result>, takeBack?: () => Promise<void>): Promise<Result> {
    const { retryMillis = DEFAULT_RETRY_MILLIS, full, hasRoom } = this.#options;
    let fullSince: number | null = null;
    for (;;) {
      try {
        const result = await run();
        if (fullSince !== null) {
          hasRoom?.(Math.round(performance.now() - fullSince));
        }
        return result;
      } catch (thrown) {
        if (!isDiskFull(thrown) || this.#isOver) {
          throw thrown;
        }
        await takeBack?.();
        if (fullSince === null) {
          fullSince = performance.now();
          full?.(toError(thrown));
        }
        await sleep(retryMillis);
      }
    }
  }
}
