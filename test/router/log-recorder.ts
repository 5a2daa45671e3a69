/** Logger for tests that writes nothing and records what is logged. */
import type { LogFields, Logger, LogLevel } from '../../src/logging/logger.js';

export class LogRecorder implements Logger {
  /** Events logged as warnings or errors, in order. */
  readonly warnings: string[] = [];
  readonly #records: { readonly event: string; readonly fields: LogFields }[] = [];

  /** Fields of all records of an event, in order. */
  fieldsOf(event: string): LogFields[] {
    return this.#records.filter((record) => record.event === event).map(({ fields }) => fields);
  }

  /** Samples may be left out, so they don't count. */
  sample(): void {}

  debug(event: string, fields?: LogFields): void {
    this.log('debug', event, fields);
  }

  info(event: string, fields?: LogFields): void {
    this.log('info', event, fields);
  }

  warn(event: string, fields?: LogFields): void {
    this.log('warn', event, fields);
  }

  error(event: string, fields?: LogFields): void {
    this.log('error', event, fields);
  }

  log(level: LogLevel, event: string, fields: LogFields = {}): void {
    this.#records.push({ event, fields: structuredClone(fields) });
    if (level === 'warn' || level === 'error') {
      this.warnings.push(event);
    }
  }
}
