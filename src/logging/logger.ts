/**
 * Structured logs: one JSON object per line on standard output; `debug` selects the enabled namespaces. Writing never
 * blocks on a reader, and each event is rate-limited; dropped records are counted and reported.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import createDebug from 'debug';
import { LogWriter } from './log-writer.js';
import { RecordBudget } from './record-budget.js';

/** Severity of a record, lowest first. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Event-specific fields of a record; values must be serialisable as JSON or errors. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Fields in every record of a process. */
export interface ProcessIdentity {
  readonly process: string;
  readonly zone: string;
}

/** Writes records of one namespace. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  log(level: LogLevel, event: string, fields?: LogFields): void;
  /** Logs a sample of a frequent event; `fields` is called only if the record is written. */
  sample(event: string, fields: () => LogFields): void;
}

/** Rate limits per event. */
const MAX_RECORDS_PER_SECOND = 50;
const MAX_SAMPLES_PER_SECOND = 2;
const STANDARD_OUTPUT = 1;
/** How long a process that exits waits at least, for what else is on its way. */
const FINISH_MILLIS = 20;
/** How long it waits at most for its last lines to be written: a reader may have stopped reading. */
const MAX_FLUSH_MILLIS = 1000;

let identity: ProcessIdentity = { process: 'ternmount', zone: '' };
const writer = new LogWriter(STANDARD_OUTPUT);
const budget = new RecordBudget(MAX_RECORDS_PER_SECOND);

/** Sets the process fields of all later records. */
export function setProcessIdentity(processIdentity: ProcessIdentity): void {
  identity = processIdentity;
}

/** Enables namespaces; `pattern` is a `debug` pattern such as `ternmount:*`. */
export function enableLogs(pattern: string): void {
  createDebug.enable(pattern);
}

/** Number of lines dropped because of a slow reader. */
export function droppedLogLines(): number {
  return writer.dropped;
}

/** Waits a bounded time for buffered lines to be written. Called before the process exits. */
export async function flushLogs(): Promise<void> {
  await Promise.all([sleep(FINISH_MILLIS), writer.flush(MAX_FLUSH_MILLIS)]);
}

/** Replaces errors in fields by their name, message, code and stack. */
function serialise(_key: string, value: unknown): unknown {
  if (value instanceof Error) {
    const { code } = value as Error & { code?: unknown };
    return { name: value.name, message: value.message, code, stack: value.stack };
  }
  return value;
}

function write(level: LogLevel, namespace: string, event: string, fields: LogFields): void {
  const record = { time: new Date().toISOString(), level, ...identity, namespace, event, ...fields };
  writer.line(JSON.stringify(record, serialise));
}

/** Logs how many records the rate limits dropped in the previous second. */
function reportDropped(): void {
  const dropped = budget.startSecond(performance.now());
  if (dropped !== null) {
    write('warn', 'logging', 'records-dropped', { dropped });
  }
}

export interface LoggerOptions {
  /** Writes each record regardless of enabled namespaces. For audit records. */
  readonly always?: boolean;
}

/** Creates the logger of the namespace `ternmount:<namespace>`. Warnings and errors are written even if it is disabled. */
export function createLogger(namespace: string, options: LoggerOptions = {}): Logger {
  const channel = createDebug(`ternmount:${namespace}`);
  const isEnabled = (level: LogLevel): boolean => {
    const optional = options.always !== true && (level === 'debug' || level === 'info');
    return !optional || channel.enabled;
  };
  const log = (level: LogLevel, event: string, fields: LogFields = {}): void => {
    reportDropped();
    if (isEnabled(level) && (options.always === true || budget.tryTake(event))) {
      write(level, namespace, event, fields);
    }
  };
  return {
    log,
    debug: (event, fields) => log('debug', event, fields),
    info: (event, fields) => log('info', event, fields),
    warn: (event, fields) => log('warn', event, fields),
    error: (event, fields) => log('error', event, fields),
    sample: (event, fields) => {
      reportDropped();
      if (isEnabled('info') && budget.tryTakeSample(event, MAX_SAMPLES_PER_SECOND)) {
        write('info', namespace, event, fields());
      }
    },
  };
}
