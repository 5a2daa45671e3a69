/**
 * Reloads a daemon's settings on SIGHUP or when the settings file has changed, which is polled. Invalid settings are
 * logged and change nothing.
 */
import { type Stats, statSync } from 'node:fs';
import { stat } from 'node:fs/promises';
import { toError } from '../../errors/ternmount-error.js';
import { createLogger } from '../../logging/logger.js';
import type { CliIo } from '../cli-io.js';

const POLL_MILLIS = 2000;

/** Tells states of a settings file apart. */
export type FileVersion = string;

/** Returns the version of the settings file, for a later watch; `null` if there is none. Read before the settings are. */
export function readFileVersion(file: string | undefined): FileVersion | null {
  const stats = file === undefined ? undefined : statSync(file, { throwIfNoEntry: false });
  return stats === undefined ? null : versionOf(stats);
}

function versionOf({ mtimeMs, size, ino }: Stats): FileVersion {
  return `${mtimeMs} ${size} ${ino}`;
}

export interface SettingsWatchOptions {
  readonly io: CliIo;
  /** Path of the settings file to poll; omitted if there is none. */
  readonly file?: string | undefined;
  /** Version of the file before the settings in force were read; omitted: the one at the first poll. */
  readonly version?: FileVersion | null;
  /** Reads the settings and applies those that can change in a running daemon; throws if they are invalid. */
  readonly reload: () => void;
}

export class SettingsWatch {
  private readonly log = createLogger('settings');
  private readonly timer: NodeJS.Timeout | undefined;
  private lastVersion: FileVersion | null;

  constructor(private readonly options: SettingsWatchOptions) {
    this.lastVersion = options.version ?? null;
    options.io.onReload?.(() => this.reload('signal'));
    if (options.file !== undefined) {
      this.timer = setInterval(() => void this.look(options.file ?? ''), POLL_MILLIS);
      void this.look(options.file);
    }
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async look(file: string): Promise<void> {
    const stats = await stat(file).catch(() => null);
    if (stats === null) {
      return;
    }
    const version = versionOf(stats);
    const isChanged = this.lastVersion !== null && this.lastVersion !== version;
    this.lastVersion = version;
    if (isChanged) {
      this.reload('file');
    }
  }

  private reload(why: 'signal' | 'file'): void {
    try {
      this.options.reload();
      this.log.info('settings-reloaded', { why });
    } catch (thrown) {
      this.log.error('settings-unusable', { why, error: toError(thrown) });
    }
  }
}
