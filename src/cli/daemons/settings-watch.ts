/**
 * Reloads a daemon's settings on SIGHUP or when the settings file has changed, which is polled. Invalid settings are
 * logged and change nothing.
 */
import { stat } from 'node:fs/promises';
import { toError } from '../../errors/ternmount-error.js';
import { createLogger } from '../../logging/logger.js';
import type { CliIo } from '../cli-io.js';

const POLL_MILLIS = 2000;

export interface SettingsWatchOptions {
  readonly io: CliIo;
  /** Path of the settings file to poll; omitted if there is none. */
  readonly file?: string | undefined;
  /** Reads the settings and applies those that can change in a running daemon; throws if they are invalid. */
  readonly reload: () => void;
}

export class SettingsWatch {
  private readonly log = createLogger('settings');
  private readonly timer: NodeJS.Timeout | undefined;
  private lastVersion: string | null = null;

  constructor(private readonly options: SettingsWatchOptions) {
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
    const version = `${stats.mtimeMs} ${stats.size} ${stats.ino}`;
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
