/**
 * Structured logs: one JSON object a line on standard output, with `debug` deciding which namespaces are on. Writing never
 * waits for a reader, and each event has a bound a second; what is dropped is counted and said.
 */
import createDebug from 'debug';
import { LogWriter } from './log-writer.js';
import { RecordBudget } from './record-budget.js';

/** How grave a record is, mildest first. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** A record's own facts; values must suit JSON, errors may stand among them. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Facts that stand in each record of a process. */
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
  /** A record of something ordinary, of which a few a second are enough; `fields` is asked for only if it is written. */
  sample(event: string, fields: () => LogFields): void;
}

/** Records of one event a second, and of one that is sampled. */
const RECORDS_A_SECOND = 50;
const SAMPLES_A_SECOND = 2;
const STANDARD_OUTPUT = 1;
/** Time that the last lines have before the process ends. */
const FINISH_MILLIS = 20;

let identity: ProcessIdentity = { process: 'ternmount', zone: '' };
const writer = new LogWriter(STANDARD_OUTPUT);
const budget = new RecordBudget(RECORDS_A_SECOND);

/** Sets the facts that each later record of this process carries. */
export function identifyProcess(facts: ProcessIdentity): void {
  identity = facts;
}

/** Turns namespaces on; `pattern` as for `debug`, e.g. `ternmount:*`. */
export function enableLogs(pattern: string): void {
  createDebug.enable(pattern);
}

/** Lines that a reader who is too slow has cost. */
export function droppedLogLines(): number {
  return writer.dropped;
}

/** Gives what waits a moment to get out; for the end of the process. */
export function finishLogs(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, FINISH_MILLIS));
}

/** Errors in fields become their message, code and stack. */
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

/** Says what the second before had too much of. */
function reportDropped(): void {
  const dropped = budget.turn(performance.now());
  if (dropped !== null) {
    write('warn', 'logging', 'records-dropped', { dropped });
  }
}

/** How a logger differs from the usual. */
export interface LoggerOptions {
  /** Write each record, whichever namespaces are on. For audit records. */
  readonly always?: boolean;
}

/** Makes the logger of a namespace: `ternmount:<namespace>`. Warnings and errors are always written. */
export function createLogger(namespace: string, options: LoggerOptions = {}): Logger {
  const channel = createDebug(`ternmount:${namespace}`);
  const isOn = (level: LogLevel): boolean => {
    const optional = options.always !== true && (level === 'debug' || level === 'info');
    return !optional || channel.enabled;
  };
  const log = (level: LogLevel, event: string, fields: LogFields = {}): void => {
    reportDropped();
    if (isOn(level) && (options.always === true || budget.take(event))) {
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
      if (isOn('info') && budget.takeSample(event, SAMPLES_A_SECOND)) {
        write('info', namespace, event, fields());
      }
    },
  };
}
