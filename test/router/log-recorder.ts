/** Logger for tests that writes nothing and records the events of warnings and errors. */
import type { Logger, LogLevel } from '../../src/logging/logger.js';

export class LogRecorder implements Logger {
  /** Events logged as warnings or errors, in order. */
  readonly warnings: string[] = [];

  sample(): void {}

  debug(event: string): void {
    this.log('debug', event);
  }

  info(event: string): void {
    this.log('info', event);
  }

  warn(event: string): void {
    this.log('warn', event);
  }

  error(event: string): void {
    this.log('error', event);
  }

  log(level: LogLevel, event: string): void {
    if (level === 'warn' || level === 'error') {
      this.warnings.push(event);
    }
  }
}
