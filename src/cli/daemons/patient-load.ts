/** Reads a daemon's settings at its start, and again while they may still be written. */
import { statSync } from 'node:fs';
import { createLogger } from '../../logging/logger.js';
import { SettingsError } from '../../settings/settings-error.js';
import type { CliIo } from '../cli-io.js';
import { type FileVersion, readFileVersion } from './settings-watch.js';

/** Longest wait for a file that is missing, empty, cut short or changing. */
const MAX_WAIT_MILLIS = 2000;
/** A file with a fault that didn't change for so long isn't being written. */
const STABLE_MILLIS = 200;
const PAUSE_MILLIS = 50;

const log = createLogger('settings');

/** Settings, and the version of their file before they were read. */
export interface LoadedSettings<Settings> {
  readonly settings: Settings;
  readonly version: FileVersion | null;
}

/** Calls `load` until it succeeds. Throws its `SettingsError` once the files are settled, after a bounded wait, or on a stop. */
export async function loadPatiently<Settings>(
  file: string | undefined,
  load: () => Settings,
  io: CliIo,
): Promise<LoadedSettings<Settings>> {
  const wait = new SettingsWait(file);
  for (;;) {
    const version = readFileVersion(file);
    try {
      return { settings: load(), version };
    } catch (thrown) {
      if (!(thrown instanceof SettingsError) || wait.isOver(thrown, version)) {
        throw thrown;
      }
      await io.sleep(PAUSE_MILLIS);
      if (io.stopSignal.aborted) {
        throw thrown;
      }
    }
  }
}

/** The wait for one settings file and the files that it names. */
class SettingsWait {
  readonly #file: string | undefined;
  readonly #since = performance.now();
  #stableSince = this.#since;
  #version: FileVersion | null = null;
  #isLogged = false;

  constructor(file: string | undefined) {
    this.#file = file;
  }

  /** Whether waiting any longer can't mend `error`, which came of this version of the file. */
  isOver(error: SettingsError, version: FileVersion | null): boolean {
    const now = performance.now();
    if (version !== this.#version) {
      this.#version = version;
      this.#stableSince = now;
    }
    const isSettled = now - this.#stableSince >= STABLE_MILLIS && !this.#isIncomplete(error);
    if (isSettled || now - this.#since >= MAX_WAIT_MILLIS) {
      return true;
    }
    this.#logOnce(error);
    return false;
  }

  #isIncomplete(error: SettingsError): boolean {
    return error.problems.some(({ mayPass }) => mayPass) || (this.#file !== undefined && isEmpty(this.#file));
  }

  #logOnce(error: SettingsError): void {
    if (!this.#isLogged) {
      log.warn('settings-awaited', { error, maxWaitMillis: MAX_WAIT_MILLIS });
      this.#isLogged = true;
    }
  }
}

function isEmpty(file: string): boolean {
  const stats = statSync(file, { throwIfNoEntry: false });
  return stats?.isFile() === true && stats.size === 0;
}
